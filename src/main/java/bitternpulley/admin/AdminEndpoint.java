package bitternpulley.admin;

import bitternpulley.broker.Broker;
import bitternpulley.broker.Effect;
import bitternpulley.broker.Event;
import bitternpulley.broker.OperatorCommands;
import bitternpulley.broker.OperatorOverrides;
import bitternpulley.broker.Payload;
import bitternpulley.net.EventLoop;
import bitternpulley.net.HostPort;
import bitternpulley.net.LineServer;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.util.function.Consumer;

/**
 * The operators' admin endpoint, which these pages call their door: one line in, one line back,
 * which starts with 200 or 400. It decides nothing itself.
 */
public final class AdminEndpoint implements LineServer.Handler, OperatorCommands {
  private static final System.Logger LOG = System.getLogger(AdminEndpoint.class.getName());

  /** The program that the door belongs to. */
  public interface Program {
    /** Whether this process takes clients. */
    boolean serving();

    /** Has the fronts send clients away, or take them again. */
    void quiesce(boolean on);

    /** Whether the operators' script lets the accounts be listed here. */
    boolean listsAccounts();

    /**
     * Reads the configuration again; the answer, a line that starts with 200 or 400, may come at
     * any time, on any thread.
     */
    void reload(Consumer<String> answer);
  }

  private record Caller(String line, Consumer<String> answer) implements Payload {}

  private final EventLoop loop;
  private final Broker broker;
  private final OverridesFile file;
  private final Program program;

  public AdminEndpoint(EventLoop loop, Broker broker, OverridesFile file, Program program) {
    this.loop = loop;
    this.broker = broker;
    this.file = file;
    this.program = program;
    broker.operatorCommands(this);
  }

  /**
   * Has what stands take effect, before anything is sent, and then what another process changes of
   * it.
   */
  public void takeUp() {
    stands(file.read());
    file.watch(standing -> loop.execute(() -> stands(standing)));
  }

  public void listen(HostPort at) throws IOException {
    new LineServer(loop, this).listen(at);
  }

  private void stands(OperatorOverrides standing) {
    broker.submit(new Event.OverridesChanged(standing));
  }

  @Override
  public void line(String line, Consumer<String> answer) {
    String[] words = line.split(" +");
    switch (words[0] + "/" + words.length) {
      case "health/1" -> answer.accept(program.serving() ? "200 yes" : "400 no clients are taken");
      case "cordon/2" -> order(new OperatorOverrides.Override(words[1], true), line, answer);
      case "uncordon/2" -> order(new OperatorOverrides.Override(words[1], false), line, answer);
      case "quiesce/1" -> order(new OperatorOverrides.Override(null, true), line, answer);
      case "resume/1" -> order(new OperatorOverrides.Override(null, false), line, answer);
      case "reload/1" -> {
        LOG.log(Level.INFO, "by an operator: reload");
        program.reload(told -> loop.execute(() -> answer.accept(told)));
      }
      case "accounts/1", "accounts/2" ->
          answer.accept(
              program.listsAccounts()
                  ? "200 " + AccountsReport.of(broker, words.length > 1 ? words[1] : null)
                  : "400 accounts are not listed: set accounts(list = True) in the operators' script");
      case "members/1" ->
          answer.accept(
              broker
                  .membership()
                  .map(
                      m ->
                          "200 "
                              + MembersReport.of(
                                  m, broker.leases().map(l -> l.status(broker.now()))))
                  .orElse(
                      "400 membership is off, or waits for its address: set membership() in the operators' script"));
      default ->
          answer.accept(
              "400 calls are: health, cordon ID, uncordon ID, quiesce, resume, reload, accounts [TEAM], members");
    }
  }

  @Override
  public String tooLong() {
    return "400 the line is too long";
  }

  private void order(OperatorOverrides.Override order, String line, Consumer<String> answer) {
    broker.submit(new Event.OperatorCommandReceived(order, new Caller(line, answer)));
  }

  @Override
  public void persist(Effect.PersistOverride kept) {
    Caller caller = (Caller) kept.caller();
    file.change(
        kept.override(),
        (standing, failure) ->
            loop.execute(
                () -> {
                  LOG.log(Level.INFO, "by an operator: " + caller.line());
                  stands(standing);
                  caller
                      .answer()
                      .accept(
                          failure == null
                              ? "200 done"
                              : "200 done, but an upgrade will not know of it: " + failure);
                }));
  }

  @Override
  public void reject(Effect.RejectCommand turned) {
    ((Caller) turned.caller()).answer().accept("400 " + turned.reason());
  }

  @Override
  public void quiesce(boolean on) {
    LOG.log(Level.INFO, on ? "clients are sent away" : "clients are taken");
    program.quiesce(on);
  }
}
