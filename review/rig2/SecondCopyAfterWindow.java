/**
 * A part of a class whose repeats are dropped only within a window stays out at a server that
 * answers nothing. It may be sent again within the window only.
 */
public final class SecondCopyAfterWindow {
  private static final int CELLS = 6;

  /** The window of the class, in ms, and the slack that a check on the real clock allows. */
  private static final double WINDOW_MS = 1000;

  private static final double SLACK_MS = 50;

  private static Simulator simulator;
  private static double firstSentAt = Double.NaN;
  private static int late;

  public static void main(String[] args) {
    Rig.main(args, SecondCopyAfterWindow::run);
  }

  private static boolean run(Rig rig) throws Exception {
    simulator = new Simulator(rig, action -> act(rig, action));
    String settings =
        Rig.settings(
                CELLS,
                12,
                113,
                Rig.queryClass("slot-booking", "token", 2)
                    .replace("\"aim\":2000.0", "\"aim\":3000.0")
                    .replace("\"dedupWindow\":5000.0", "\"dedupWindow\":" + WINDOW_MS),
                "")
            .replace("\"secondCopies\":false", "\"secondCopies\":true");
    simulator.launch(settings, CELLS);
    double start = rig.ms() + 100;
    simulator.at(
        start,
        "workItem",
        "\"who\":0,\"ref\":1,\"lane\":0,\"groupNo\":1,\"shard\":-1,\"shareOrCount\":2,"
            + "\"expiresIn\":5000.0");
    for (int part = 0; part < 2; part++) {
      simulator.at(
          start,
          "workItem",
          "\"who\":0,\"ref\":"
              + (2 + part)
              + ",\"lane\":0,\"groupNo\":1,\"shard\":"
              + (2 * part)
              + ",\"shareOrCount\":"
              + (part == 0 ? 0.7 : 0.3));
    }
    simulator.playUntil(start + 5500);
    rig.log("attempts of part 3 after the window: " + late);
    return late == 0;
  }

  private static void act(Rig rig, Simulator.Action action) {
    if (!action.verb().equals("issue")) {
      return;
    }
    double now = rig.ms();
    boolean hangs = Rig.TROUBLE && action.value("ref").equals("3") && Double.isNaN(firstSentAt);
    if (action.value("ref").equals("3")) {
      if (Double.isNaN(firstSentAt)) {
        firstSentAt = now;
      } else if (now > firstSentAt + WINDOW_MS + SLACK_MS) {
        late++;
        rig.log("part 3 is sent again " + Math.round(now - firstSentAt) + " ms after its first"
            + " attempt, which is still out; its window is " + Math.round(WINDOW_MS) + " ms");
      }
    }
    if (!hangs) {
      simulator.at(
          now + 180,
          "settled",
          "\"who\":0,\"ref\":"
              + action.value("ref")
              + ",\"server\":\""
              + action.value("server")
              + "\",\"complete\":true,\"disposition\":\"completed\",\"roundNo\":"
              + (action.value("ref").equals("3") && Rig.TROUBLE ? 1 : 0)
              + ",\"elapsed\":180.0");
    }
  }
}
