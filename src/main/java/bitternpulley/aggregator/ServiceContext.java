package bitternpulley.aggregator;

import bitternpulley.broker.Broker;
import bitternpulley.broker.Clock;
import bitternpulley.broker.Reducer;
import bitternpulley.config.Configuration;
import bitternpulley.net.ClientMemory;
import bitternpulley.net.EventLoop;
import bitternpulley.net.HttpServer;

/**
 * Objects shared by the subsystems of the process.
 *
 * @param loop the event loop, which performs all input and output
 * @param timer runs tasks on the loop after a delay
 * @param broker decides which attempts and answers each request gets
 * @param clock the clock of the process, in milliseconds
 * @param configuration the configuration of this aggregator from the platform
 * @param brokerConfiguration the active operators' script
 * @param descriptors connection limits of each HTTP server for clients and each server protocol
 * @param clientMemory bounds the memory of the clients of all HTTP servers together
 */
record ServiceContext(
    EventLoop loop,
    Broker.Timer timer,
    Broker broker,
    Clock clock,
    Configuration configuration,
    ActiveBrokerConfiguration brokerConfiguration,
    DescriptorBudget descriptors,
    ClientMemory clientMemory) {

  /** Largest body of a client's request, in bytes. */
  static final int MAX_BODY_BYTES = 64 * 1024;

  /** Creates the event loop and the broker of a process. */
  static ServiceContext create(StartupConfiguration startup) {
    Configuration configuration = startup.aggregator();
    Clock clock = Clock.system();
    EventLoop loop = new EventLoop(clock::now);
    Broker.Timer timer = loop::schedule;
    Reducer reducer = new Reducer(configuration.settings(), configuration.seed(), clock.now());
    Broker broker = new Broker(reducer, clock, timer);
    int httpServerCount = startup.search().isPresent() ? 2 : 1;
    return new ServiceContext(
        loop,
        timer,
        broker,
        clock,
        configuration,
        new ActiveBrokerConfiguration(broker, startup.broker()),
        DescriptorBudget.of(configuration, httpServerCount),
        ClientMemory.create(loop));
  }

  /** Creates an HTTP server for clients that does not listen yet. */
  HttpServer newHttpServer(HttpServer.Handler handler) {
    return new HttpServer(
        loop,
        MAX_BODY_BYTES,
        descriptors.clientConnections(),
        HttpServer.Timeouts.DEFAULT,
        clientMemory,
        handler);
  }

  /** Time limit for opening a connection to a slot server, in milliseconds. */
  double connectTimeout() {
    return configuration.settings().limits().connectTimeout();
  }
}
