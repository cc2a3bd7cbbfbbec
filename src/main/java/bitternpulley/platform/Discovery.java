package bitternpulley.platform;

import bitternpulley.config.EndpointList;
import bitternpulley.net.EventLoop;
import bitternpulley.net.HostPort;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;

/**
 * Client of service discovery that keeps watching: after a watch ends, another one resumes from the
 * last revision received. A watch that becomes unresponsive is still read until the next one is
 * alive, and endpoint lists are accepted from both of them.
 */
public final class Discovery {
  private static final System.Logger LOG = System.getLogger(Discovery.class.getName());

  /**
   * The shortest and the longest backoff before the next watch, in ms. If a server starts draining
   * while discovery recovers, nothing may be sent to the server later than 250 ms after the
   * recovery.
   */
  private static final double MIN_BACKOFF_MS = 50;

  private static final double MAX_BACKOFF_MS = 250;

  /**
   * The maximum share of a backoff that is subtracted at random, so that instances do not reconnect
   * simultaneously.
   */
  private static final double MAX_JITTER_SHARE = 0.5;

  private final EventLoop loop;
  private final List<String> zones;
  private final Consumer<EndpointList> onList;
  private final DiscoveryWatch.Listener watchListener = new WatchListener();
  private final Random random = new Random();
  private HostPort agentAddress;
  private long revision;
  private double backoff = MIN_BACKOFF_MS;

  /** Number of invalid messages; none of them changed any state. */
  private long invalidMessages;

  private DiscoveryWatch current;

  /**
   * The last watch that was alive. It became unresponsive or leads to the previous address, and is
   * read until the current watch is alive. May be null.
   */
  private DiscoveryWatch previous;

  /**
   * Creates a client of discovery.
   *
   * @param loop the event loop to run on
   * @param agentAddress the address of the discovery agent
   * @param zones the zone names; the settings refer to a zone by its index
   * @param revision the last revision known
   * @param onList receives the endpoint lists and the changes to them
   */
  public Discovery(
      EventLoop loop,
      HostPort agentAddress,
      List<String> zones,
      long revision,
      Consumer<EndpointList> onList) {
    this.loop = loop;
    this.agentAddress = agentAddress;
    this.zones = zones;
    this.revision = revision;
    this.onList = onList;
  }

  /** Starts watching. */
  public void start() {
    current = newWatch();
    current.open();
  }

  private DiscoveryWatch newWatch() {
    return new DiscoveryWatch(loop, agentAddress, zones, watchListener);
  }

  /**
   * Switches to another address and resumes there from the last revision. The old watch is read
   * until the new one is alive.
   */
  public void moveTo(HostPort address) {
    if (address.equals(agentAddress)) {
      return;
    }
    LOG.log(Level.INFO, "Discovery agent changed from " + agentAddress + " to " + address);
    agentAddress = address;
    backoff = MIN_BACKOFF_MS;
    replaceWatch();
  }

  /** Opens another watch. The last of the earlier watches that was alive is still read. */
  private void replaceWatch() {
    DiscoveryWatch replaced = current;
    if (replaced.hasBeenAlive()) {
      closePrevious();
      previous = replaced;
    }
    start();
    if (!replaced.hasBeenAlive()) {
      replaced.close();
    }
  }

  private void closePrevious() {
    if (previous != null) {
      previous.close();
      previous = null;
    }
  }

  /** Handles the events of the watches. */
  private final class WatchListener implements DiscoveryWatch.Listener {
    @Override
    public boolean isCurrent(DiscoveryWatch watch) {
      return watch == current;
    }

    @Override
    public long revision() {
      return revision;
    }

    @Override
    public void onEndpointList(DiscoveryWatch watch, EndpointList list) {
      if (list.revision() < revision) {
        // An agent may lag behind the previous one and list servers that have been removed.
        LOG.log(
            Level.WARNING,
            "Ignored endpoint list revision "
                + list.revision()
                + " of discovery at "
                + watch.agentAddress()
                + ", which is older than revision "
                + revision);
        return;
      }
      revision = list.revision();
      onList.accept(list);
    }

    @Override
    public void onAlive(DiscoveryWatch watch) {
      if (watch == current) {
        backoff = MIN_BACKOFF_MS;
        closePrevious();
      }
    }

    @Override
    public void onInvalidMessage(DiscoveryWatch watch, RuntimeException defect) {
      invalidMessages++;
      LOG.log(
          Level.WARNING,
          "Closing a watch of discovery at "
              + watch.agentAddress()
              + " after an invalid message, number "
              + invalidMessages
              + " so far: "
              + defect.getMessage());
    }

    @Override
    public void onUnresponsive(DiscoveryWatch watch) {
      LOG.log(
          Level.INFO,
          "Discovery at " + watch.agentAddress() + " is unresponsive; opening another watch");
      replaceWatch();
    }

    @Override
    public void onClosed(DiscoveryWatch watch) {
      if (watch != current) {
        return;
      }
      current = newWatch();
      loop.schedule(backoff * (1 - MAX_JITTER_SHARE * random.nextDouble()), current::open);
      backoff = Math.min(2 * backoff, MAX_BACKOFF_MS);
    }
  }
}
