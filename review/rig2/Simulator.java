import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A stand-in for the simulator: plays one instance of the program that the deploy file's sim line
 * starts, in batches of 5 ms on the real clock.
 */
final class Simulator {
  /** One action of the program. */
  record Action(String verb, String text) {
    String value(String field) {
      Matcher match = Pattern.compile("\"" + field + "\":\"?([^,\"}]*)").matcher(text);
      return match.find() ? match.group(1) : "";
    }
  }

  interface Handler {
    void act(Action action);
  }

  private static final double TICK_MS = 5;

  private final Rig rig;
  private final Process process;
  private final Writer out;
  private final BufferedReader in;
  private final Handler handler;
  private final TreeMap<Double, List<String>> due = new TreeMap<>();

  Simulator(Rig rig, Handler handler) throws IOException {
    this.rig = rig;
    this.handler = handler;
    process = rig.start("sim", "sim", Map.of(), true);
    out = process.outputWriter(StandardCharsets.UTF_8);
    in = new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
  }

  /** Sends a message of this verb and these fields in the first batch at or after a time. */
  void at(double ms, String verb, String fields) {
    String message = "{\"verb\":\"" + verb + "\"" + (fields.isEmpty() ? "" : "," + fields) + "}";
    due.computeIfAbsent(ms, time -> new ArrayList<>()).add(message);
  }

  /** Starts the instance and tells it of one server in each cell. */
  void launch(String settings, int cells) throws IOException {
    StringBuilder page = new StringBuilder("\"buffer\":0,\"entries\":[");
    for (int cell = 0; cell < cells; cell++) {
      page.append(cell == 0 ? "" : ",").append("{\"regionPart\":").append(cell % 2);
      page.append(",\"setNo\":").append(cell).append(",\"availability\":\"live\",\"scale\":1,");
      page.append("\"server\":\"").append(server(cell)).append("\"}");
    }
    at(0, "launch", "\"who\":0,\"entropy\":7,\"profileData\":" + settings);
    at(0, "page", page + "]");
    at(0, "fleet", "\"who\":0,\"kind\":\"Persisted\",\"index\":41,\"buffer\":0");
    step();
  }

  static String server(int cell) {
    return "127.0.1." + (cell + 1) + ":8443";
  }

  /** Plays until a time; the program's timers are delivered as they fall due. */
  void playUntil(double ms) throws IOException {
    while (rig.ms() < ms) {
      step();
      Rig.sleep(TICK_MS);
    }
  }

  private void step() throws IOException {
    double now = rig.ms();
    List<String> messages = new ArrayList<>();
    while (!due.isEmpty() && due.firstKey() <= now) {
      messages.addAll(due.pollFirstEntry().getValue());
    }
    if (messages.isEmpty()) {
      return;
    }
    out.write("{\"clock\":" + now + ",\"msgs\":[" + String.join(",", messages) + "]}\n");
    out.flush();
    String reply = in.readLine();
    if (reply == null) {
      throw new IOException("the program has ended: " + rig.output("sim"));
    }
    Matcher match = Pattern.compile("\\{\"verb\":\"([A-Za-z]+)\"[^{}]*\\}").matcher(reply);
    while (match.find()) {
      Action action = new Action(match.group(1), match.group());
      if (action.verb().equals("setAlarm")) {
        double time = Double.parseDouble(action.value("dueAt"));
        at(
            Math.max(time, now + 0.001),
            "timer",
            "\"who\":0,\"token\":\"" + action.value("token") + "\"");
      } else {
        rig.log("program: " + action.text());
        handler.act(action);
      }
    }
  }
}
