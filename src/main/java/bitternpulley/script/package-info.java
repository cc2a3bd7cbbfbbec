/**
 * Interpreter for the operators' script, which is written in a small language modelled on Starlark
 * and evaluated once when it is loaded. The entry point is {@link
 * bitternpulley.script.ScriptRunner}: it parses a script with the ANTLR grammar {@code Script.g4},
 * evaluates it and passes calls of host functions to a {@link bitternpulley.script.ScriptHost}. The
 * package decides whether a script is valid and what its expressions evaluate to; it does not know
 * what the host's functions mean.
 *
 * <p>The package reads no file, clock or random number, so a script always has the same result.
 *
 * <p>Invariants: every evaluation terminates, because there is neither {@code while} nor recursion,
 * and script length, nesting, steps, memory and output are limited by {@link
 * bitternpulley.script.EvaluationLimits}. A script is rejected with a {@link
 * bitternpulley.script.ScriptException}, which has the position of the error, and no other
 * exception is thrown for any script. {@code config} calls the package when contracts are loaded or
 * reloaded.
 *
 * <p>{@code IndentationLexer} adds the tokens of blocks, {@code StatementExecutor} and {@code
 * ExpressionEvaluator} walk the parse tree, and {@code ScriptEvaluator} connects them to the
 * operations on values.
 */
package bitternpulley.script;
