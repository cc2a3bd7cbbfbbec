package bitternpulley.gossip;

import bitternpulley.broker.Broker;
import bitternpulley.broker.Effect;
import bitternpulley.broker.Event;
import bitternpulley.broker.GossipTransport;
import bitternpulley.config.Configuration;
import bitternpulley.config.MembershipConfiguration;
import bitternpulley.leases.Leases;
import bitternpulley.membership.MemberMetadata;
import bitternpulley.membership.Membership;
import bitternpulley.net.EventLoop;
import bitternpulley.net.UdpSocket;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

/**
 * Connects membership and leases to the network: owns the datagram socket and the periodic tick,
 * and passes messages between the socket and the broker, which runs the state machines of both.
 */
public final class GossipService implements GossipTransport {
  private static final System.Logger LOG = System.getLogger(GossipService.class.getName());

  /**
   * Milliseconds between attempts to bind the address, which the departing process still holds
   * during a hot restart.
   */
  private static final double BIND_RETRY_MS = 250;

  /** Bounds the memory for logged keys, because datagrams can come from any number of addresses. */
  private static final int MAX_LOGGED_KEYS = 64;

  private static final String BIND_FAILURE_KEY = "bind";

  private final EventLoop loop;
  private final Broker broker;
  private final Configuration configuration;
  private final MembershipConfiguration membershipConfiguration;
  private final GossipCodec codec;
  private final List<InetSocketAddress> addresses;
  private final Set<String> loggedKeys = new HashSet<>();
  private final String build;
  private UdpSocket socket;
  private boolean hasLeft;
  private long ignoredDatagrams;
  private long corruptedDatagrams;

  /**
   * Creates a service that is not started yet.
   *
   * @param build build version of this program, announced to the other members
   */
  public GossipService(
      EventLoop loop,
      Broker broker,
      Configuration configuration,
      MembershipConfiguration membershipConfiguration,
      String build) {
    this.loop = loop;
    this.broker = broker;
    this.configuration = configuration;
    this.membershipConfiguration = membershipConfiguration;
    this.build = build;
    codec = new GossipCodec(membershipConfiguration.deployment());
    addresses =
        configuration.peers().orElseThrow().addresses().stream()
            .map(peer -> peer.address())
            .toList();
    broker.setGossipTransport(this);
  }

  /**
   * Enables leases before the first query, if the operators' script configures them. Until the
   * instance holds leases, it has no quota.
   */
  public void startLeases() {
    membershipConfiguration
        .leases()
        .ifPresent(
            leases ->
                broker.submit(
                    new Event.LeasesStarted(
                        new Leases(
                            configuration.settings().selfIndex(),
                            configuration.leaseTerms(leases)))));
  }

  /** Binds the address, retrying until it is free, and then starts membership. */
  public void start() {
    if (hasLeft) {
      return;
    }
    try {
      socket =
          new UdpSocket(
              loop,
              configuration.peers().orElseThrow().listen(),
              GossipCodec.MAX_DATAGRAM_BYTES,
              this::onDatagram);
    } catch (IOException failure) {
      if (shouldLog(BIND_FAILURE_KEY)) {
        LOG.log(
            Level.WARNING,
            "Membership waits for its address, which another process holds: "
                + failure.getMessage());
      }
      loop.schedule(BIND_RETRY_MS, this::start);
      return;
    }
    startMembership();
  }

  private void startMembership() {
    long epoch =
        EpochFile.next(configuration.processSettings().stateDirectory().orElse(null), broker.now());
    int self = configuration.settings().selfIndex();
    Membership membership =
        new Membership(
            self,
            new MemberMetadata(
                configuration.name(), zone(), membershipConfiguration.region(), build),
            epoch,
            IntStream.range(0, addresses.size()).boxed().toList(),
            membershipConfiguration.settings(),
            configuration.seed(),
            broker.now());
    LOG.log(
        Level.INFO,
        "Membership started: member " + self + " of " + addresses.size() + ", epoch " + epoch);
    broker.submit(new Event.MembershipStarted(membership));
    tick();
    loop.repeat(membership.tickInterval(), this::tick);
  }

  private String zone() {
    int zone = configuration.settings().zone();
    return zone < configuration.zones().size() ? configuration.zones().get(zone) : "";
  }

  /** Returns whether further ticks follow. */
  private boolean tick() {
    if (!hasLeft) {
      broker.submit(new Event.MembershipTick());
    }
    return !hasLeft;
  }

  /** Announces to the other members that this member leaves, and stops the ticks. */
  public void leave() {
    if (!hasLeft) {
      broker.submit(new Event.MembershipLeaveRequested());
      hasLeft = true;
    }
  }

  @Override
  public long corruptedDatagrams() {
    return corruptedDatagrams;
  }

  @Override
  public void send(Effect.SendGossip effect) {
    send(effect.to(), codec.encode(effect.message()));
  }

  @Override
  public void send(Effect.SendLeaseMessage effect) {
    send(effect.to(), codec.encode(effect.message()));
  }

  private void send(int to, byte[] datagram) {
    if (socket != null && to < addresses.size()) {
      socket.send(datagram, addresses.get(to));
    }
  }

  private void onDatagram(byte[] bytes, int length, InetSocketAddress sender) {
    GossipCodec.Datagram datagram;
    try {
      datagram = codec.decode(bytes, length);
    } catch (CorruptedDatagramException failure) {
      corruptedDatagrams++;
      ignore(sender, failure.getMessage());
      return;
    } catch (DatagramException failure) {
      ignore(sender, failure.getMessage());
      return;
    }
    int number = datagram.claimedSender();
    if (number < 0 || number >= addresses.size() || !addresses.get(number).equals(sender)) {
      ignore(sender, "it claims to be member " + number + ", which has another address");
      return;
    }
    broker.submit(datagram.event());
  }

  private void ignore(InetSocketAddress sender, String reason) {
    ignoredDatagrams++;
    if (shouldLog(sender.toString())) {
      LOG.log(
          Level.WARNING,
          "Ignoring datagrams from "
              + sender
              + ": "
              + reason
              + ", ignored so far: "
              + ignoredDatagrams);
    }
  }

  /** Returns true only once for each key, so that a persistent sender cannot fill the log. */
  private boolean shouldLog(String key) {
    return loggedKeys.size() < MAX_LOGGED_KEYS && loggedKeys.add(key);
  }
}
