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
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

/**
 * Membership as a running subsystem: a socket, a beat, and the state machine that the core drives.
 */
public final class GossipService implements GossipTransport {
  private static final System.Logger LOG = System.getLogger(GossipService.class.getName());

  /**
   * Ms between tries to take the address: during an upgrade the process that leaves still has it.
   */
  private static final double TAKE_AGAIN = 250;

  /** Senders that are remembered for having been logged once. */
  private static final int MOST_LOGGED = 64;

  private final EventLoop loop;
  private final Broker broker;
  private final Configuration config;
  private final MembershipConfiguration membership;
  private final GossipCodec codec;
  private final List<InetSocketAddress> addresses;
  private final Set<String> logged = new HashSet<>();
  private final String build;
  private DatagramLink link;
  private boolean ended;
  private long unusable;

  /** One that is not begun yet. */
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
    addresses = config.peers().orElseThrow().all().stream().map(p -> p.address()).toList();
    broker.gossipTransport(this);
  }

  /**
   * Has what all may do together go by leases, where the script has them, from before the first
   * query on.
   */
  public void open() {
    membership
        .leases()
        .ifPresent(
            l ->
                broker.submit(
                    new Event.LeasesStarted(
                        new Leases(config.settings().self(), config.leaseTerms(l)))));
  }

  /** Takes the address, at once or as soon as it is free, and begins to look for the others. */
  public void start() {
    if (ended) {
      return;
    }
    try {
      link =
          new DatagramLink(
              loop, config.peers().orElseThrow().listen(), GossipCodec.MOST_BYTES, this::received);
    } catch (IOException e) {
      once(
          "address",
          "membership waits for its address, which another process has: " + e.getMessage());
      loop.after(TAKE_AGAIN, this::start);
      return;
    }
    Path folder = config.operations().folder().orElse(null);
    long epoch = EpochFile.next(folder, broker.now());
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
        "membership begins: number " + self + " of " + addresses.size() + ", epoch " + epoch);
    broker.submit(new Event.MembershipStarted(core));
    beat(core);
  }

  private String zone() {
    int zone = config.settings().zone();
    return zone < config.zones().size() ? config.zones().get(zone) : "";
  }

  private void beat(Membership core) {
    if (!ended) {
      broker.submit(new Event.MembershipTick());
      loop.after(core.tickInterval(), () -> beat(core));
    }
  }

  /** Tells the others that this one goes, and ends. */
  public void leave() {
    if (!ended) {
      broker.submit(new Event.MembershipLeaveRequested());
      ended = true;
    }
  }

  @Override
  public void send(Effect.SendGossip told) {
    send(told.to(), codec.encode(told.message()));
  }

  @Override
  public void send(Effect.SendLeaseMessage told) {
    send(told.to(), codec.encode(told.message()));
  }

  private void send(int to, byte[] datagram) {
    if (link != null && to < addresses.size()) {
      link.send(datagram, addresses.get(to));
    }
  }

  private void received(byte[] bytes, int length, InetSocketAddress from) {
    try {
      GossipCodec.Datagram datagram = codec.decode(bytes, length);
      int number = datagram.from();
      if (number < 0 || number >= addresses.size() || !addresses.get(number).equals(from)) {
        throw new IOException("it claims number " + number + ", which is elsewhere");
      }
      broker.submit(datagram.event());
    } catch (IOException e) {
      unusable++;
      once(
          from.toString(),
          "datagrams from "
              + from
              + " are ignored: "
              + e.getMessage()
              + " ("
              + unusable
              + " so far)");
    }
  }

  private void once(String key, String text) {
    if (logged.size() < MOST_LOGGED && logged.add(key)) {
      LOG.log(Level.WARNING, text);
    }
  }
}
