package bitternpulley.health;

import bitternpulley.routing.Settings;
import java.util.ArrayList;
import java.util.List;

/** How much of what this instance, and it alone, is asked for comes from each tenant. */
public final class TenantShares {
  /** Ms over which shares are taken: some tens of queries at a query or more a second. */
  private static final double WINDOW = 5000;

  /** How far chance may pass a share. */
  private static final double SLACK = 1.25;

  private final List<Settings.Tenant> tenants;
  private final WindowCount asked = new WindowCount(WINDOW);
  private final List<WindowCount> byTenant = new ArrayList<>();

  public TenantShares(List<Settings.Tenant> tenants) {
    this.tenants = tenants;
    tenants.forEach(t -> byTenant.add(new WindowCount(WINDOW)));
  }

  /** A tenant, by its number, asks for so many parts. */
  public void asked(int tenant, int parts, double now) {
    asked.add(now, parts);
    if (tenant < byTenant.size()) {
      byTenant.get(tenant).add(now, parts);
    }
  }

  /** Whether a tenant asks for more than its share. */
  public boolean isOver(int tenant, double now) {
    return tenant < byTenant.size()
        && byTenant.get(tenant).sum(now) > SLACK * tenants.get(tenant).quota() * asked.sum(now);
  }
}
