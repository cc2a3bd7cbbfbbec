package bitternpulley.script;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ScriptRunnerTest {
  private static final String FILE = "t.star";

  /** Maximum run time of a script of {@link #stopsEveryScriptAtItsLimits}, in nanoseconds. */
  private static final double MAX_RUN_NANOS = 20e9;

  /** The fragments that random scripts are joined from. */
  private static final List<String> FRAGMENTS =
      List.of(
          "x",
          " = ",
          "1",
          "(",
          ")",
          "[",
          "]",
          "{",
          "}",
          ":",
          ",",
          "\n",
          "\n  ",
          "\n    ",
          "if ",
          "else",
          "for ",
          " in ",
          "def f",
          "return ",
          "'a'",
          "%",
          "*",
          "+",
          "-",
          "not ",
          ".get",
          "range(9)",
          "\\",
          "\"",
          "#",
          "\t",
          "é",
          "\u0000",
          "lambda",
          "and ",
          "|",
          "==",
          "note(",
          "a=");

  private final List<String> recordedArguments = new ArrayList<>();

  private String run(String text) {
    return run(text, EvaluationLimits.DEFAULT);
  }

  private String run(String text, EvaluationLimits limits) {
    return new ScriptRunner(
            limits,
            new ScriptHost() {
              @Override
              public boolean hasFunction(String function) {
                return function.equals("note");
              }

              @Override
              public Object call(
                  String function, Map<String, Argument> arguments, SourcePosition position) {
                arguments.forEach(
                    (name, argument) ->
                        recordedArguments.add(
                            position
                                + " "
                                + name
                                + "="
                                + argument.value()
                                + " at "
                                + argument.position()));
                return null;
              }
            })
        .run(FILE, text);
  }

  @Test
  void evaluatesFunctionsLoopsAndStringsLikeStarlark() {
    String text =
        """
        # two teams of equal shares
        def team(name, share = 0.5):
          return name
        names = ["%s-%d" % (n, i) for n in ["a", "b"] for i in range(3) if i != 1]
        total = 0
        for i, n in enumerate(names):
            if n.startswith("b"):
                total += i
            elif i == 0: continue
            else:
                total += 10
        print(names, total, team("x"), -7 // 2, -7 % 3, 7 / 2)
        d = {"k": 1, "l": [1, 2]} | {"m": (1,)}
        d["l"][0] += 5
        print(d, "k" in d, "z" not in d, d.get("z"), [1, 2, 3][-2:], "{} of {t}".format(1, t = 3))
        print(sorted([3, 1, 2], reverse = True), max(4, 2), len("abc"),\
         not [] and True, 1 if 0 else 2)
        """;
    assertEquals(
        """
        ["a-0", "a-2", "b-0", "b-2"] 15 x -4 2 3.5
        {"k": 1, "l": [6, 2], "m": (1,)} True True None [2, 3] 1 of 3
        [3, 2, 1] 4 3 True 2
        """,
        run(text));
  }

  @Test
  void passesArgumentsWithTheirPositionsToTheHost() {
    run("x = 3\nnote(a = x,\n     b = [x] * 2)\n");
    assertEquals(
        List.of("t.star:2:1 a=3 at t.star:2:6", "t.star:2:1 b=[3, 3] at t.star:3:6"),
        recordedArguments);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "x = 1 +|1:8",
        "x = y|1:5",
        "def f():\\n  return f()\\nf()|2:10",
        "for i in 3:\\n  pass|1:1",
        "1 / 0|1:1",
        "while True:\\n  pass|1:7",
        "x = [1][4]|1:5",
        "x = {}['a']|1:5",
        "\\n  x = 1|2:1",
        "if 1:\\n    x = 1\\n  y = 2|3:3",
        "x = 'a\\nb'|1:5",
        "return 1|1:1",
        "break|1:1",
        "note(3)|1:1",
        "x = 99999999999999999999|1:5",
        "f = 1\\nf()|2:1",
        "x = 'a'.nothing()|1:5",
        "(1, 2)[0] = 3|1:1",
        "a, b = [1]|1:1",
        "fail('no')|1:1",
        "x = \"%d\" % 'a'|1:5",
        "x = $|1:5",
        "x = 9223372036854775807 + 1|1:5",
        "def f(a, a):\\n  pass|1:10",
        "x = 1 < 'a'|1:5"
      })
  void reportsThePositionOfAnError(String text, String position) {
    ScriptException error =
        assertThrows(ScriptException.class, () -> run(text.replace("\\n", "\n") + "\n"));
    assertEquals(FILE + ":" + position, String.valueOf(error.position()), error.getMessage());
  }

  /** Without limits, each of these scripts would use excessive time, memory or stack. */
  @Test
  void stopsEveryScriptAtItsLimits() {
    for (String script :
        List.of(
            "x = [0] * 100000000000\n",
            "x = 'a' * 999999999\n",
            "x = range(9999999999)\n",
            "x = 'a'\nfor i in range(99):\n  x += x\n",
            "x = [1]\nfor i in range(99):\n  x.extend(x)\n",
            "for i in range(10000):\n  for j in range(10000):\n    pass\n",
            "x = " + "(".repeat(5000) + "1" + ")".repeat(5000) + "\n",
            "x = " + "not ".repeat(20000) + "1\n",
            "x = " + "-".repeat(20000) + "1\n",
            "x = " + "1 + ".repeat(200000) + "1\n",
            "x = " + "1 if 1 else ".repeat(20000) + "1\n",
            "for i in range(9000000):\n  print('aaaaaaaaaaaaaaaaaaaaaaaaaaaaa')\n",
            "x = []\nx.append(x)\nprint(x)\n",
            "x = []\ny = []\nx.append(y)\ny.append(x)\nz = x == y\n",
            "x" + "[0]".repeat(50000) + "\n",
            "x = 'a'" + ".upper()".repeat(50000) + "\n",
            "x = 1" + " and 1".repeat(100000) + "\n")) {
      long startNanos = System.nanoTime();
      try {
        run(script, new EvaluationLimits(1 << 20, 64, 200_000, 1_000_000, 10_000));
        throw new AssertionError(
            "completed without reaching a limit: "
                + script.substring(0, Math.min(60, script.length())));
      } catch (ScriptException error) {
        assertTrue(
            System.nanoTime() - startNanos < MAX_RUN_NANOS,
            "took too long: " + script.substring(0, Math.min(60, script.length())));
      }
    }
  }

  @Property(tries = 300)
  void evaluatesIntegerArithmeticWithFlooredDivision(
      @ForAll int first, @ForAll int second, @ForAll int anyDivisor) {
    long divisor = anyDivisor == 0 ? 1 : anyDivisor;
    long expected =
        (long) first
            - (long) second * 3
            + Math.floorDiv((long) first, divisor)
            - Math.floorMod((long) second, divisor);
    String text =
        "print((FIRST) - (SECOND) * 3 + (FIRST) // (DIVISOR) - (SECOND) % (DIVISOR))\n"
            .replace("FIRST", String.valueOf(first))
            .replace("SECOND", String.valueOf(second))
            .replace("DIVISOR", String.valueOf(divisor));
    assertEquals(expected + "\n", run(text));
  }

  @Provide
  Arbitrary<String> randomScripts() {
    return Arbitraries.of(FRAGMENTS)
        .list()
        .ofMaxSize(40)
        .map(fragments -> String.join("", fragments));
  }

  @Property(tries = 3000)
  void throwsOnlyScriptExceptionsForAnyScript(@ForAll("randomScripts") String script) {
    try {
      run(script, new EvaluationLimits(1000, 16, 10_000, 10_000, 1000));
    } catch (ScriptException error) {
      assertTrue(!error.toString().isEmpty());
    }
  }
}
