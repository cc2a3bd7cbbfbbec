package bitternpulley.routing;

import java.util.List;

/** Builds settings for tests. The default is a small site of four cells without budgets. */
public final class SettingsBuilder {
  private int selfIndex = 0;
  private int instances = 1;
  private int zone = 0;
  private double tick = 5;
  private boolean endpointsOnRequest = false;
  private List<Settings.QueryClass> classes = List.of(new QueryClassBuilder().build());
  private List<Settings.Tenant> tenants = List.of();
  private double overQuotaWeight = 1;
  private boolean weightByWork = false;
  private Settings.Layout layout = new Settings.Layout(4, 4, 2, 1);
  private Settings.Limits limits = new LimitsBuilder().build();
  private Settings.Rules rules = new RulesBuilder().build();
  private Settings.Costs costs = new Settings.Costs(0, 0);

  public static SettingsBuilder from(Settings other) {
    SettingsBuilder builder = new SettingsBuilder();
    builder.selfIndex = other.selfIndex();
    builder.instances = other.instances();
    builder.zone = other.zone();
    builder.tick = other.tick();
    builder.endpointsOnRequest = other.endpointsOnRequest();
    builder.classes = other.classes();
    builder.tenants = other.tenants();
    builder.overQuotaWeight = other.overQuotaWeight();
    builder.weightByWork = other.weightByWork();
    builder.layout = other.layout();
    builder.limits = other.limits();
    builder.rules = other.rules();
    builder.costs = other.costs();
    return builder;
  }

  public SettingsBuilder selfIndex(int value) {
    selfIndex = value;
    return this;
  }

  public SettingsBuilder instances(int value) {
    instances = value;
    return this;
  }

  public SettingsBuilder zone(int value) {
    zone = value;
    return this;
  }

  public SettingsBuilder tick(double value) {
    tick = value;
    return this;
  }

  public SettingsBuilder endpointsOnRequest(boolean value) {
    endpointsOnRequest = value;
    return this;
  }

  public SettingsBuilder classes(List<Settings.QueryClass> value) {
    classes = value;
    return this;
  }

  public SettingsBuilder tenants(List<Settings.Tenant> value) {
    tenants = value;
    return this;
  }

  public SettingsBuilder overQuotaWeight(double value) {
    overQuotaWeight = value;
    return this;
  }

  public SettingsBuilder weightByWork(boolean value) {
    weightByWork = value;
    return this;
  }

  public SettingsBuilder layout(Settings.Layout value) {
    layout = value;
    return this;
  }

  public SettingsBuilder limits(Settings.Limits value) {
    limits = value;
    return this;
  }

  public SettingsBuilder rules(Settings.Rules value) {
    rules = value;
    return this;
  }

  public SettingsBuilder costs(Settings.Costs value) {
    costs = value;
    return this;
  }

  public Settings build() {
    return new Settings(
        selfIndex,
        instances,
        zone,
        tick,
        endpointsOnRequest,
        classes,
        tenants,
        overQuotaWeight,
        weightByWork,
        layout,
        limits,
        rules,
        costs);
  }
}
