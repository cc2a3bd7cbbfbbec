package bitternpulley.policy;

import bitternpulley.routing.LimitsBuilder;
import bitternpulley.routing.QueryClassBuilder;
import bitternpulley.routing.RulesBuilder;
import bitternpulley.routing.Settings;
import bitternpulley.routing.SettingsBuilder;
import java.util.List;
import java.util.function.Consumer;

/**
 * Builds a policy under test from settings. The defaults are four cells and two replicas, two
 * instances, no hedging, no retry budget, and one query class: idempotent, with an objective of
 * 1,000 ms and a deadline of 3,000 ms, where only complete answers by the objective have a payoff.
 */
final class PolicyHarnessBuilder {
  private static final int CELLS = 4;

  private final QueryClassBuilder queryClass =
      new QueryClassBuilder().latePriorityWeight(0).partialPriorityWeight(0.9);
  private final RulesBuilder rules = new RulesBuilder().retryBudgetWindow(1000);
  private final LimitsBuilder limits = new LimitsBuilder();
  private final SettingsBuilder settings = new SettingsBuilder().instances(2).tick(1);
  private Settings.Layout layout = new Settings.Layout(CELLS, CELLS, 2, 1);

  PolicyHarnessBuilder queryClass(Consumer<QueryClassBuilder> changes) {
    changes.accept(queryClass);
    return this;
  }

  PolicyHarnessBuilder settings(Consumer<SettingsBuilder> changes) {
    changes.accept(settings);
    return this;
  }

  PolicyHarnessBuilder limits(Consumer<LimitsBuilder> changes) {
    changes.accept(limits);
    return this;
  }

  PolicyHarnessBuilder hedgingAllowed() {
    limits.hedgingAllowed(true);
    return this;
  }

  PolicyHarnessBuilder retryBudget(double floor, double share) {
    rules.retriesBudgeted(true).retryBudgetFloor(floor).retryBudgetShare(share);
    return this;
  }

  PolicyHarnessBuilder replicas(int replicas) {
    return layout(new Settings.Layout(CELLS, CELLS, replicas, 1));
  }

  PolicyHarnessBuilder layout(Settings.Layout value) {
    layout = value;
    return this;
  }

  Settings buildSettings() {
    return settings
        .classes(List.of(queryClass.build()))
        .rules(rules.build())
        .limits(limits.build())
        .layout(layout)
        .build();
  }

  /** Builds a policy that knows no server. */
  PolicyHarness buildWithoutServers() {
    return new PolicyHarness(buildSettings());
  }

  /** Builds a policy that knows one warm server in each of four cells, s0 to s3. */
  PolicyHarness build() {
    return buildWithoutServers().addFourServers();
  }
}
