package bitternpulley.platform;

import bitternpulley.broker.Clock;
import bitternpulley.broker.Event;
import bitternpulley.config.Configuration;
import bitternpulley.net.EventLoop;
import java.util.function.Consumer;

/** Builds slot servers for tests; by default a connection carries several calls. */
final class SlotServersBuilder {
  private static final double CONNECT_TIMEOUT_MS = 5000;

  private final EventLoop loop;
  private final Consumer<Event> events;
  private Clock clock = Clock.system();
  private int partsPerConnection = 100;
  private double keepAliveMs = 15_000;
  private int maxConnections = 10;
  private int callsPerConnection = 4;

  SlotServersBuilder(EventLoop loop, Consumer<Event> events) {
    this.loop = loop;
    this.events = events;
  }

  SlotServersBuilder clock(Clock newClock) {
    clock = newClock;
    return this;
  }

  SlotServersBuilder partsPerConnection(int count) {
    partsPerConnection = count;
    return this;
  }

  SlotServersBuilder keepAliveMs(double keepAlive) {
    keepAliveMs = keepAlive;
    return this;
  }

  SlotServersBuilder maxConnections(int count) {
    maxConnections = count;
    return this;
  }

  SlotServers build() {
    return new SlotServers(
        loop, events, clock, settings(), CONNECT_TIMEOUT_MS, maxConnections, callsPerConnection);
  }

  /**
   * Builds slot servers as the program does, with the default number of calls for each connection.
   */
  SlotServers buildWithDefaultCallsPerConnection() {
    return new SlotServers(loop, events, clock, settings(), CONNECT_TIMEOUT_MS, maxConnections);
  }

  private Configuration.ConnectionSettings settings() {
    return new Configuration.ConnectionSettings(partsPerConnection, keepAliveMs, false);
  }
}
