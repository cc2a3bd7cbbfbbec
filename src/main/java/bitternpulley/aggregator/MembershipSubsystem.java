package bitternpulley.aggregator;

import bitternpulley.config.BrokerConfiguration;
import bitternpulley.gossip.GossipService;
import java.util.Optional;

/**
 * Membership of the aggregator fleet, which is on only if the operators' script configures it.
 *
 * <p>With membership off, no class of the gossip package is loaded, which keeps the start short. A
 * lambda or method reference to {@link GossipService} would load that class when linked, so this
 * class calls its methods directly.
 */
final class MembershipSubsystem {
  /** The build version announced to other members when the classes do not come from the jar. */
  private static final String UNPACKAGED_BUILD = "unpacked";

  private final Optional<GossipService> gossip;

  MembershipSubsystem(ServiceContext context, BrokerConfiguration configuration) {
    gossip =
        configuration.membership().isEmpty()
            ? Optional.empty()
            : Optional.of(
                new GossipService(
                    context.loop(),
                    context.broker(),
                    context.configuration(),
                    configuration.membership().get(),
                    buildVersion()));
  }

  /** Enables leases of shared quotas before the first query, if the script configures them. */
  void startLeases() {
    if (gossip.isPresent()) {
      gossip.get().startLeases();
    }
  }

  /** Starts to exchange messages with the other members. */
  void start() {
    if (gossip.isPresent()) {
      gossip.get().start();
    }
  }

  /** Announces to the other members that this member leaves, and stops. */
  void leave() {
    if (gossip.isPresent()) {
      gossip.get().leave();
    }
  }

  private static String buildVersion() {
    return Optional.ofNullable(MembershipSubsystem.class.getPackage().getImplementationVersion())
        .orElse(UNPACKAGED_BUILD);
  }
}
