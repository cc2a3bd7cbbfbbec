package bitternpulley.aggregator;

import bitternpulley.broker.Broker;
import bitternpulley.broker.Clock;
import bitternpulley.broker.Reducer;
import bitternpulley.config.Configuration;
import bitternpulley.net.EventLoop;
import bitternpulley.net.HttpServer;

/**
 * What the subsystems of the process share.
 *
 * @param loop runs all input and output
 * @param timer runs tasks on the loop after a delay
 * @param broker decides on all requests
 * @param clock the time of the process, in ms
 * @param site the platform's configuration
 * @param brokerConfiguration the operators' script in force
 * @param descriptors bounds of the connections of each front and each server protocol
 */
record ServiceContext(
    EventLoop loop,
    Broker.Timer timer,
    Broker broker,
    Clock clock,
    Configuration site,
    ActiveBrokerConfiguration brokerConfiguration,
    DescriptorBudget descriptors) {

  /** Largest body of a client's request, in bytes. */
  static final int MAX_BODY_BYTES = 64 * 1024;

  /** Creates the event loop and the broker of a process. */
  static ServiceContext create(StartupConfiguration configuration) {
    Configuration site = configuration.site();
    Clock clock = Clock.system();
    EventLoop loop = new EventLoop(clock::now);
    Broker.Timer timer = loop::schedule;
    Reducer reducer = new Reducer(site.settings(), site.seed(), clock.now());
    Broker broker = new Broker(reducer, clock, timer);
    int fronts = configuration.search().isPresent() ? 2 : 1;
    return new ServiceContext(
        loop,
        timer,
        broker,
        clock,
        site,
        new ActiveBrokerConfiguration(broker, configuration.broker()),
        DescriptorBudget.of(site, fronts));
  }

  /** Creates a server for clients, which does not listen yet. */
  HttpServer newFront(HttpServer.Handler handler) {
    return new HttpServer(
        loop,
        MAX_BODY_BYTES,
        descriptors.clientConnections(),
        HttpServer.Timeouts.DEFAULT,
        handler);
  }

  /** Ms within which a connection to a slot server must be open. */
  double connectTimeout() {
    return site.settings().limits().connectTimeout();
  }
}
