package bitternpulley.aggregator;

import bitternpulley.broker.Broker;
import bitternpulley.broker.Clock;
import bitternpulley.config.Configuration;
import bitternpulley.net.EventLoop;

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

  /** Ms within which a connection to a slot server must be open. */
  double connectTimeout() {
    return site.settings().limits().connectTimeout();
  }
}
