package bitternpulley.health;

import bitternpulley.routing.Settings;
import java.util.ArrayList;
import java.util.List;

/**
 * Compares each tenant's share of the parts requested from this instance with the tenant's quota.
 */
public final class TenantQuotas {
  /**
   * Window in ms over which shares are measured. It contains some tens of queries even at a few
   * queries per second.
   */
  private static final double WINDOW_MS = 5000;

  /** Factor by which a tenant's share may exceed its quota, to allow for random variation. */
  private static final double TOLERANCE = 1.25;

  private final List<Settings.Tenant> tenants;
  private final SlidingWindowSum requestedParts = new SlidingWindowSum(WINDOW_MS);
  private final List<SlidingWindowSum> requestedPartsByTenant = new ArrayList<>();

  /** The quotas of these tenants. Other methods identify a tenant by its index in the list. */
  public TenantQuotas(List<Settings.Tenant> tenants) {
    this.tenants = tenants;
    tenants.forEach(tenant -> requestedPartsByTenant.add(new SlidingWindowSum(WINDOW_MS)));
  }

  /** Records a query and the number of its parts. */
  public void recordRequest(int tenant, int partCount, double now) {
    requestedParts.add(now, partCount);
    if (tenant < requestedPartsByTenant.size()) {
      requestedPartsByTenant.get(tenant).add(now, partCount);
    }
  }

  /** Whether a tenant requests more than its quota. */
  public boolean isOverQuota(int tenant, double now) {
    return tenant < requestedPartsByTenant.size()
        && requestedPartsByTenant.get(tenant).sum(now)
            > TOLERANCE * tenants.get(tenant).quota() * requestedParts.sum(now);
  }
}
