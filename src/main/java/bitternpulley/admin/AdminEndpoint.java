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
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/**
 * The operators' admin endpoint. It answers each line with one line that starts with 200 or 400. It
 * submits commands to the broker as events or passes them to {@link ServiceControl}, and makes no
 * decisions itself.
 */
public final class AdminEndpoint implements LineServer.Handler, OperatorCommands {
  private static final System.Logger LOG = System.getLogger(AdminEndpoint.class.getName());
  private static final String SUCCESS = "200 ";
  private static final String FAILURE = "400 ";
  private static final String USAGE =
      "calls are: health, cordon ID, uncordon ID, quiesce, resume, reload, accounts [TEAM],"
          + " members";

  /** A command line that waits for its answer, and the recipient of the answer. */
  private record Caller(String line, Consumer<String> answer) implements Payload {}

  private final EventLoop loop;
  private final Broker broker;
  private final OverridesFile overridesFile;
  private final ServiceControl service;

  /** Creates an endpoint that carries out the broker's operator commands. */
  public AdminEndpoint(
      EventLoop loop, Broker broker, OverridesFile overridesFile, ServiceControl service) {
    this.loop = loop;
    this.broker = broker;
    this.overridesFile = overridesFile;
    this.service = service;
    broker.setOperatorCommands(this);
  }

  /**
   * Applies the stored overrides and, from then on, each change that another process makes. Must be
   * called before the first request is sent.
   */
  public void loadOverrides() {
    applyOverrides(overridesFile.read());
    overridesFile.watch(overrides -> loop.execute(() -> applyOverrides(overrides)));
  }

  /**
   * Starts listening.
   *
   * @throws IOException if the address cannot be bound
   */
  public void listen(HostPort address) throws IOException {
    new LineServer(loop, this).listen(address);
  }

  private void applyOverrides(OperatorOverrides overrides) {
    broker.submit(new Event.OverridesChanged(overrides));
  }

  @Override
  public void handleLine(String line, Consumer<String> answer) {
    List<String> words = List.of(line.split(" +", -1));
    List<String> arguments = words.subList(1, words.size());
    AdminCommand.find(words.get(0), arguments.size())
        .ifPresentOrElse(
            command -> execute(command, arguments, new Caller(line, answer)),
            () -> answer.accept(FAILURE + USAGE));
  }

  private void execute(AdminCommand command, List<String> arguments, Caller caller) {
    switch (command) {
      case HEALTH -> caller.answer().accept(health());
      case CORDON -> submit(new OperatorOverrides.OperatorCommand(arguments.get(0), true), caller);
      case UNCORDON ->
          submit(new OperatorOverrides.OperatorCommand(arguments.get(0), false), caller);
      case QUIESCE -> submit(new OperatorOverrides.OperatorCommand(null, true), caller);
      case RESUME -> submit(new OperatorOverrides.OperatorCommand(null, false), caller);
      case RELOAD -> reload(caller);
      case ACCOUNTS -> caller.answer().accept(accounts(arguments));
      case MEMBERS -> caller.answer().accept(members());
    }
  }

  private String health() {
    return service.isServing() ? SUCCESS + "yes" : FAILURE + "no clients are taken";
  }

  private String accounts(List<String> arguments) {
    if (!service.listsAccounts()) {
      return FAILURE
          + "accounts are not listed: set accounts(list = True) in the operators' script";
    }
    return SUCCESS
        + (arguments.isEmpty()
            ? AccountsReport.ofAllTeams(broker)
            : AccountsReport.ofTeam(broker, arguments.get(0)));
  }

  private String members() {
    return broker
        .membership()
        .map(membership -> SUCCESS + MembersReport.of(membership, broker))
        .orElse(
            FAILURE
                + "membership is off, or waits for its address:"
                + " set membership() in the operators' script");
  }

  private void reload(Caller caller) {
    LOG.log(Level.INFO, "Admin command received: " + caller.line());
    service.reload(
        new ReloadObserver() {
          @Override
          public void succeeded() {
            answer(SUCCESS + "done");
          }

          @Override
          public void failed(String reason) {
            String oneLine = reason.lines().collect(Collectors.joining(" "));
            answer(FAILURE + "the configuration before stays: " + oneLine);
          }

          private void answer(String text) {
            loop.execute(() -> caller.answer().accept(text));
          }
        });
  }

  @Override
  public String lineTooLong() {
    return FAILURE + "the line is too long";
  }

  /** Submits an override to the broker, which either rejects it or calls {@link #persist}. */
  private void submit(OperatorOverrides.OperatorCommand override, Caller caller) {
    broker.submit(new Event.OperatorCommandReceived(override, caller));
  }

  @Override
  public void persist(Effect.PersistOverride effect) {
    Caller caller = (Caller) effect.caller();
    overridesFile.change(
        effect.command(),
        new OverridesFile.ChangeObserver() {
          @Override
          public void stored(OperatorOverrides overrides) {
            loop.execute(() -> complete(caller, overrides, "done"));
          }

          @Override
          public void keptInMemory(OperatorOverrides overrides, String failure) {
            String text = "done, but an upgrade will not know of it: " + failure;
            loop.execute(() -> complete(caller, overrides, text));
          }
        });
  }

  private void complete(Caller caller, OperatorOverrides overrides, String text) {
    LOG.log(Level.INFO, "Admin command received: " + caller.line());
    applyOverrides(overrides);
    caller.answer().accept(SUCCESS + text);
  }

  @Override
  public void reject(Effect.RejectCommand effect) {
    ((Caller) effect.caller()).answer().accept(FAILURE + effect.reason());
  }

  @Override
  public void setQuiesced(boolean quiesced) {
    LOG.log(
        Level.INFO,
        quiesced
            ? "Quiesced: each client connection is closed after its next response"
            : "Resumed: client connections are kept open");
    service.setQuiesced(quiesced);
  }
}
