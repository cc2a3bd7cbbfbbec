/**
 * A query of a class with an effect has two steps. Its first step has run; the servers of the
 * second step refuse connections. The query may fail then, but it must not be refused.
 */
public final class RefusedAfterStep {
  private static final int CELLS = 6;

  private static Simulator simulator;
  private static int secondStepAttempts;
  private static boolean firstStepRan;
  private static boolean refusedAfterItRan;
  private static boolean ended;

  public static void main(String[] args) {
    Rig.main(args, RefusedAfterStep::run);
  }

  private static boolean run(Rig rig) throws Exception {
    simulator = new Simulator(rig, action -> act(rig, action));
    String settings =
        Rig.settings(CELLS, 12, 113, Rig.queryClass("slot-booking", "side_effect", 2), "")
            .replace("\"followUp\":[0,0,0]", "\"followUp\":[1]");
    simulator.launch(settings, CELLS);
    double start = rig.ms() + 100;
    simulator.at(
        start,
        "workItem",
        "\"who\":0,\"ref\":1,\"lane\":0,\"groupNo\":1,\"shard\":-1,\"shareOrCount\":1,"
            + "\"expiresIn\":5000.0");
    simulator.at(start, "workItem", part(2));
    simulator.playUntil(start + 5500);
    rig.log("first step ran: " + firstStepRan + ", query refused: " + refusedAfterItRan);
    if (!firstStepRan || !ended) {
      throw new IllegalStateException("the query did not come to its second step or to its end");
    }
    return !refusedAfterItRan;
  }

  private static String part(int ref) {
    return "\"who\":0,\"ref\":"
        + ref
        + ",\"lane\":0,\"groupNo\":1,\"shard\":0,\"shareOrCount\":1.0";
  }

  private static void act(Rig rig, Simulator.Action action) {
    double now = rig.ms();
    String ref = action.value("ref");
    switch (action.verb()) {
      case "issue" -> {
        boolean served = ref.equals("2") || !Rig.TROUBLE;
        int number = ref.equals("3") ? secondStepAttempts++ : 0;
        simulator.at(
            now + (served ? 180 : 5),
            "settled",
            "\"who\":0,\"ref\":"
                + ref
                + ",\"server\":\""
                + action.value("server")
                + "\","
                + (served ? "\"complete\":true," : "")
                + "\"disposition\":\""
                + (served ? "completed" : "refused_conn")
                + "\",\"roundNo\":"
                + number
                + ",\"elapsed\":"
                + (served ? 180.0 : 5.0));
      }
      case "gatherUp" -> {
        if (firstStepRan) {
          ended = true;
        } else {
          firstStepRan = true;
          simulator.at(now + 5, "workItem", part(3));
        }
      }
      case "turnAway" -> {
        ended = true;
        refusedAfterItRan = firstStepRan;
      }
      case "lose" -> ended = true;
      default -> {}
    }
  }
}
