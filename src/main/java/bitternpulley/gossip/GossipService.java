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
import bitternpulley.net.DatagramLink;
import bitternpulley.net.EventLoop;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

/**
 * Runs membership and leases: owns the datagram socket and the periodic tick, and passes messages
 * between the socket and the broker, which drives the state machines.
 */
public final class GossipService implements GossipTransport {
  private static final System.Logger LOG = System.getLogger(GossipService.class.getName());

  /**
   * Ms between attempts to bind the address: during a hot restart the process that leaves still
   * holds it.
   */
  private static final double BIND_RETRY_MS = 250;

  /** Bounds the memory for what was logged once, as anyone can send from many addresses. */
  private static final int MAX_LOGGED_KEYS = 64;

  private static final String BIND_FAILURE_KEY = "bind";

  private final EventLoop loop;
  private final Broker broker;
  private final Configuration config;
  private final MembershipConfiguration membership;
  private final GossipCodec codec;
  private final List<InetSocketAddress> addresses;
  private final Set<String> loggedKeys = new HashSet<>();
  private final String build;
  private DatagramLink link;
  private boolean hasLeft;
  private long ignoredDatagrams;
  private long corruptedDatagrams;

  /**
   * A service that does not run yet.
   *
   * @param build version of this program, which the other members are shown
   */
  public GossipService(
      EventLoop loop,
      Broker broker,
      Configuration config,
      MembershipConfiguration membership,
      String build) {
    this.loop = loop;
    this.broker = broker;
    this.config = config;
    this.membership = membership;
    this.build = build;
    codec = new GossipCodec(membership.deployment());
    addresses = config.peers().orElseThrow().all().stream().map(peer -> peer.address()).toList();
    broker.gossipTransport(this);
  }

  /**
   * Puts leases in force before the first query, where the operators' script configures them: until
   * the instance holds leases it has no quota.
   */
  public void startLeases() {
    membership
        .leases()
        .ifPresent(
            leases ->
                broker.submit(
                    new Event.LeasesStarted(
                        new Leases(config.settings().self(), config.leaseTerms(leases)))));
  }

  /** Binds the address, at once or as soon as it is free, and starts membership. */
  public void start() {
    if (hasLeft) {
      return;
    }
    try {
      link =
          new DatagramLink(
              loop,
              config.peers().orElseThrow().listen(),
              GossipCodec.MAX_DATAGRAM_BYTES,
              this::onDatagram);
    } catch (IOException failure) {
      if (firstLogOf(BIND_FAILURE_KEY)) {
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
    long epoch = EpochFile.next(config.operations().stateDirectory().orElse(null), broker.now());
    int self = config.settings().self();
    Membership core =
        new Membership(
            self,
            new MemberMetadata(config.name(), zone(), membership.region(), build),
            epoch,
            IntStream.range(0, addresses.size()).boxed().toList(),
            membership.terms(),
            config.seed(),
            broker.now());
    LOG.log(
        Level.INFO,
        "Membership started: member " + self + " of " + addresses.size() + ", epoch " + epoch);
    broker.submit(new Event.MembershipStarted(core));
    tick(core);
  }

  private String zone() {
    int zone = config.settings().zone();
    return zone < config.zones().size() ? config.zones().get(zone) : "";
  }

  private void tick(Membership core) {
    if (!hasLeft) {
      broker.submit(new Event.MembershipTick());
      loop.schedule(core.tickInterval(), () -> tick(core));
    }
  }

  /** Announces to the other members that this one leaves, and stops the ticks. */
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
    if (link != null && to < addresses.size()) {
      link.send(datagram, addresses.get(to));
    }
  }

  private void onDatagram(byte[] bytes, int length, InetSocketAddress from) {
    GossipCodec.Datagram datagram;
    try {
      datagram = codec.decode(bytes, length);
    } catch (CorruptedDatagramException failure) {
      corruptedDatagrams++;
      ignore(from, failure.getMessage());
      return;
    } catch (DatagramException failure) {
      ignore(from, failure.getMessage());
      return;
    }
    int number = datagram.from();
    if (number < 0 || number >= addresses.size() || !addresses.get(number).equals(from)) {
      ignore(from, "it claims to be member " + number + ", which has another address");
      return;
    }
    broker.submit(datagram.event());
  }

  private void ignore(InetSocketAddress from, String defect) {
    ignoredDatagrams++;
    if (firstLogOf(from.toString())) {
      LOG.log(
          Level.WARNING,
          "Ignoring datagrams from "
              + from
              + ": "
              + defect
              + ", ignored so far: "
              + ignoredDatagrams);
    }
  }

  /** Whether nothing was logged under this key; a peer that goes on must not fill the log. */
  private boolean firstLogOf(String key) {
    return loggedKeys.size() < MAX_LOGGED_KEYS && loggedKeys.add(key);
  }
}
