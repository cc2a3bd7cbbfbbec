package bitternpulley.aggregator;

import bitternpulley.config.BrokerConfiguration;
import bitternpulley.gossip.GossipService;
import java.util.Optional;

/**
 * Membership of the aggregator fleet, which the operators' script may turn off.
 *
 * <p>With membership off no class of the gossip package is loaded, which keeps the start short. A
 * lambda or method reference to {@link GossipService} would load it when linked, so this class
 * calls it directly.
 */
final class MembershipSubsystem {
  /** The build that members are shown where classes do not come from the jar. */
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
                    context.site(),
                    configuration.membership().get(),
                    build()));
  }

  /** Has shared quotas go by leases from before the first query, where the script asks for it. */
  void startLeases() {
    if (gossip.isPresent()) {
      gossip.get().startLeases();
    }
  }

  /** Begins to exchange messages with the other members. */
  void start() {
    if (gossip.isPresent()) {
      gossip.get().start();
    }
  }

  /** Announces to the other members that this one leaves, and stops. */
  void leave() {
    if (gossip.isPresent()) {
      gossip.get().leave();
    }
  }

  private static String build() {
    return Optional.ofNullable(MembershipSubsystem.class.getPackage().getImplementationVersion())
        .orElse(UNPACKAGED_BUILD);
  }
}
