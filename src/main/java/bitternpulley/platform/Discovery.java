package bitternpulley.platform;

import bitternpulley.config.EndpointList;
import bitternpulley.net.EventLoop;
import bitternpulley.net.HostPort;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;

/**
 * Watches discovery for good: a watch that ends is followed by another, from the last revision on.
 * One that becomes unresponsive is still read until the next one is alive, whichever of the two
 * delivers first.
 */
public final class Discovery {
  private static final System.Logger LOG = System.getLogger(Discovery.class.getName());

  /**
   * The first and the longest backoff before the next watch, in ms. A server that drains while
   * discovery recovers must receive nothing 250 ms after that.
   */
  private static final double MIN_BACKOFF_MS = 50;

  private static final double MAX_BACKOFF_MS = 250;

  /** The largest share of a backoff that is taken off at random, so that instances spread. */
  private static final double JITTER = 0.5;

  private final EventLoop loop;
  private final List<String> zones;
  private final Consumer<EndpointList> onList;
  private final DiscoveryWatch.Listener watchListener = new WatchListener();
  private final Random random = new Random();
  private HostPort agent;
  private long revision;
  private double backoff = MIN_BACKOFF_MS;

  /** Messages that could not be used; none of them changed anything. */
  private long invalidMessages;

  private DiscoveryWatch current;

  /**
   * The last watch that was alive, read until the current one is: it became unresponsive, or leads
   * to the address before. May be null.
   */
  private DiscoveryWatch previous;

  /**
   * Creates a client of discovery.
   *
   * @param loop runs all of it
   * @param agent the address of discovery's agent
   * @param zones the names of zones that the settings number
   * @param revision the last revision known
   * @param onList receives the endpoint lists and the changes to them
   */
  public Discovery(
      EventLoop loop,
      HostPort agent,
      List<String> zones,
      long revision,
      Consumer<EndpointList> onList) {
    this.loop = loop;
    this.agent = agent;
    this.zones = zones;
    this.revision = revision;
    this.onList = onList;
  }

  /** Starts to watch. */
  public void start() {
    current = newWatch();
    current.open();
  }

  private DiscoveryWatch newWatch() {
    return new DiscoveryWatch(loop, agent, zones, watchListener);
  }

  /**
   * Watches at another address from the last revision on; the old watch is read until the new one
   * is alive.
   */
  public void moveTo(HostPort address) {
    if (address.equals(agent)) {
      return;
    }
    LOG.log(Level.INFO, "Discovery moves from " + agent + " to " + address);
    agent = address;
    backoff = MIN_BACKOFF_MS;
    replace();
  }

  /** Opens another watch. Of those before it, the last that was alive is still read. */
  private void replace() {
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

  /** Receives what the watches report. */
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
        // An agent may lag behind the one before it, and list servers that have been removed.
        LOG.log(
            Level.WARNING,
            "Ignored endpoint list revision "
                + list.revision()
                + " of discovery at "
                + watch.agent()
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
              + watch.agent()
              + " after an invalid message, number "
              + invalidMessages
              + " so far: "
              + defect.getMessage());
    }

    @Override
    public void onUnresponsive(DiscoveryWatch watch) {
      LOG.log(
          Level.INFO, "Discovery at " + watch.agent() + " is unresponsive; opening another watch");
      replace();
    }

    @Override
    public void onClosed(DiscoveryWatch watch) {
      if (watch != current) {
        return;
      }
      current = newWatch();
      loop.schedule(backoff * (1 - JITTER * random.nextDouble()), current::open);
      backoff = Math.min(2 * backoff, MAX_BACKOFF_MS);
    }
  }
}
