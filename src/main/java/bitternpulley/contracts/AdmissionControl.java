package bitternpulley.contracts;

import bitternpulley.routing.Router;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides who is let in, by the contracts in force, and keeps every team's account. The order of a
 * query's life here: {@link #admit}, for each attempt {@link #allowRetry}, {@link #onAttemptSent}
 * and {@link #onAttemptEnded}, then {@link #onRequestEnded}. Times are ms of one clock that never
 * runs back; amounts are standard parts (see {@link WorkMeter}).
 */
public final class AdmissionControl {
  /** Attempts and retries that a budget may save up. */
  static final double BUDGET_BURST = 10;

  /** The weight of a team without a guarantee when idle share is divided. */
  static final double LEAST_WEIGHT = 0.01;

  /** Share of a team's burst that may be saved up of loans. */
  static final double LOAN_DEPTH = 0.25;

  /** Ms for which a team counts as one that wants to borrow after it last did. */
  private static final double WANTS_FOR = 1000;

  /**
   * What a query of a team that was let in before is reckoned to take to its end, ms, until one has
   * ended.
   */
  private static final double FIRST_LASTS = 100;

  private static final double LASTS_SMOOTHING = 0.1;

  /**
   * Share of its class's wanted time within which an attempt is in time: the rest is for holding
   * and further attempts.
   */
  private static final double TIMELY = 0.3;

  /** Times the worth that a query counts as that has come back as it was told. */
  private static final double PROMISED_WORTH = 10;

  /** The least pause that is promised, ms. */
  private static final double LEAST_PAUSE = 10;

  private final CapacityPool supply = new CapacityPool();
  private final CapacityEstimate capacity;
  private final WorkMeter work;
  private final double[] wanted;
  private final double mostPause;
  private final Map<String, Account> accounts = new HashMap<>();
  private final ArrayDeque<Account> borrowers = new ArrayDeque<>();
  private ContractBook book = ContractBook.NONE;

  /**
   * @param wanted each class's wanted time on the site's own terms, ms
   * @param mostPause the longest pause that clients heed, ms; 0 where they heed none
   */
  public AdmissionControl(double[] wanted, double mostPause) {
    this.wanted = wanted.clone();
    this.mostPause = mostPause;
    this.work = new WorkMeter(wanted.length);
    this.capacity = new CapacityEstimate(Arrays.stream(wanted).min().orElse(1000));
  }

  /** Whether contracts are in force; without any, everything is admitted and nothing is kept. */
  public boolean isActive() {
    return !book.isEmpty();
  }

  /**
   * Puts other contracts in force. Queries that are open end under the version that let them in,
   * and what they booked is settled with the account that they booked it on; promises that are
   * outstanding are kept.
   */
  public void apply(ContractBook fresh, double now) {
    advance(now);
    book = fresh;
    double reserved = 0;
    for (Contract c : fresh.contracts()) {
      reserved += c.lends() ? 0 : c.guaranteedQuota();
      Account account = accounts.get(c.id());
      if (account != null) {
        supply.wanting(account.queued ? -account.weight() : 0);
        account.contract = c;
        supply.wanting(account.queued ? account.weight() : 0);
      }
    }
    supply.lendable(Math.max(0, 1 - reserved));
    forgetRetired(now);
  }

  /**
   * Guards against accounts of teams long gone: one that no contract has and nothing is booked on
   * is dropped.
   */
  private void forgetRetired(double now) {
    accounts
        .values()
        .removeIf(
            a ->
                book.of(a.team) == null
                    && a.unsettled == 0
                    && !a.queued
                    && a.promises.kept(now) == 0);
  }

  /** Lets a query in or refuses it. */
  public AdmissionDecision admit(AdmissionRequest claim, double now) {
    advance(now);
    Contract contract = book.of(claim.team());
    if (contract == null) {
      return new AdmissionDecision.Rejected(claim.team(), book.version(), Limit.NO_CONTRACT, 0);
    }
    Account a = accounts.get(contract.id());
    if (a == null) {
      a = new Account(contract);
      accounts.put(contract.id(), a);
    }
    Router.ClassTerms terms = contract.classes().get(claim.queryClass());
    if (terms == null) {
      return refused(a, Limit.CLASS, 0);
    }
    double cost = work.estimate(claim);
    if (supply.limited()) {
      a.fill(supply, now);
    }
    double left = a.promises.left(claim.fingerprint(), now);
    if (a.held + claim.parts() + 1 > contract.maxPending()) {
      return refused(a, Limit.HOLDS, pause(a, claim, cost, now));
    }
    if (left <= 0) {
      a.promises.claim(claim.fingerprint());
      return admitted(a, UsageCharge.Basis.PROMISE, claim, cost, now, ahead(terms));
    }
    Limit met = null;
    UsageCharge.Basis basis = null;
    if (claim.retry() && a.clientRetries < 1) {
      met = Limit.CLIENT_RETRIES;
    } else if (!supply.limited()) {
      basis = UsageCharge.Basis.UNLIMITED;
    } else if (contract.ceiling() < 1 && a.top.balance() <= 0) {
      met = Limit.CEILING;
    } else if (a.own.balance() - a.promises.kept(now) > 0) {
      basis = UsageCharge.Basis.GUARANTEE;
    } else if (borrows(a, now)) {
      basis = UsageCharge.Basis.LOAN;
    } else {
      met = Limit.SHARE;
    }
    if (basis == null) {
      return refused(a, met, pause(a, claim, cost, now));
    }
    if (left > 0) {
      a.promises.claim(claim.fingerprint()); // back early, and there is room already
    }
    return admitted(a, basis, claim, cost, now, terms);
  }

  /**
   * Who was told to come back goes before what comes anew: the module starts held queries by their
   * worth.
   */
  private static Router.ClassTerms ahead(Router.ClassTerms terms) {
    return new Router.ClassTerms(
        terms.latencyObjective(),
        terms.deadline(),
        terms.minimumShare(),
        PROMISED_WORTH * terms.priorityWeight());
  }

  /**
   * Whether something idle is the team's to borrow; from now on it counts among those who want to.
   */
  private boolean borrows(Account a, double now) {
    if (!a.contract.borrows()) {
      return false;
    }
    wants(a, now);
    return !capacity.crowded() && (supply.plenty() || supply.idle() && a.loan.balance() > 0);
  }

  private AdmissionDecision refused(Account a, Limit limit, double pause) {
    a.refused[limit.ordinal()]++;
    return new AdmissionDecision.Rejected(a.team, book.version(), limit, pause);
  }

  private UsageCharge admitted(
      Account a,
      UsageCharge.Basis basis,
      AdmissionRequest claim,
      double cost,
      double now,
      Router.ClassTerms terms) {
    UsageCharge charge = new UsageCharge(a, basis, book.version(), claim, cost, now, terms);
    a.admitted++;
    a.unsettled++;
    a.held += claim.parts() + 1;
    a.furtherAttempts =
        Math.min(a.furtherAttempts + a.contract.retriesPerPart() * claim.parts(), budgetDepth(a));
    a.clientRetries =
        claim.retry()
            ? a.clientRetries - 1
            : Math.min(a.clientRetries + a.contract.clientRetries(), BUDGET_BURST);
    capacity.admitted(charge);
    book(charge, cost);
    return charge;
  }

  private static double budgetDepth(Account a) {
    return BUDGET_BURST * Math.max(1, a.contract.retriesPerPart() * 10);
  }

  private void book(UsageCharge charge, double amount) {
    Account a = charge.account;
    a.used += amount;
    a.borrowed += charge.basis == UsageCharge.Basis.LOAN ? amount : 0;
    if (!supply.limited() || a.own == null) {
      return;
    }
    a.top.take(amount);
    if (charge.basis == UsageCharge.Basis.LOAN) {
      a.loan.take(amount);
      supply.useLoan(amount);
    } else {
      a.own.take(amount);
      if (a.contract.lends()) {
        supply.useOwn(amount);
      }
    }
  }

  /**
   * The pause that a refused caller is told: what is left of its own promise, else a new one's.
   * Nobody gains by asking twice.
   */
  private double pause(Account a, AdmissionRequest claim, double cost, double now) {
    double left = a.promises.left(claim.fingerprint(), now);
    return left > 0 ? left : promise(a, claim, cost, now);
  }

  /**
   * The pause after which the team's own share holds the query beside all that others were
   * promised, or 0 where that is later than clients heed: then none is promised.
   */
  private double promise(Account a, AdmissionRequest claim, double cost, double now) {
    double pause;
    if (supply.limited() && a.own != null) {
      double perMs = a.contract.guaranteedQuota() * supply.rate() / 1000;
      double missing = a.promises.kept(now) + cost - Math.min(a.own.balance(), cost);
      pause = perMs <= 0 ? Double.POSITIVE_INFINITY : missing / perMs;
    } else {
      pause = a.lasts == 0 ? FIRST_LASTS : a.lasts;
    }
    pause = Math.max(LEAST_PAUSE, pause);
    if (a.promises.left(claim.fingerprint(), now) <= 0) {
      a.promises.claim(
          claim.fingerprint()); // its time has come and it is refused all the same: it is told
      // another
    }
    return pause <= mostPause && a.promises.add(claim.fingerprint(), now + pause, cost) ? pause : 0;
  }

  /** The team wants to borrow: it counts from now on for a while when idle share is divided. */
  private void wants(Account a, double now) {
    a.borrowsUntil = now + WANTS_FOR;
    if (!a.queued) {
      a.queued = true;
      a.lookAt = a.borrowsUntil;
      supply.wanting(a.weight());
      borrowers.add(a);
    }
  }

  /**
   * Time goes on: capacity is looked at anew, shares fill, and who no longer wants to borrow is
   * dropped.
   */
  public void advance(double now) {
    supply.advance(now);
    if (capacity.at(now)) {
      supply.rate(capacity.rate());
    }
    while (!borrowers.isEmpty() && now >= borrowers.peek().lookAt) {
      Account a = borrowers.poll();
      if (a.borrowsUntil > now) {
        a.lookAt = a.borrowsUntil;
        borrowers.add(a);
      } else {
        a.queued = false;
        supply.wanting(-a.weight());
      }
    }
  }

  // --- What came of it ---------------------------------------------------------------------------

  /**
   * Whether the team's budget has another attempt for a part of an admitted query; if so, it is
   * taken.
   */
  public boolean allowRetry(UsageCharge charge) {
    if (charge.account.furtherAttempts < 1) {
      return false;
    }
    charge.account.furtherAttempts--;
    return true;
  }

  /** An attempt has gone out. */
  public void onAttemptSent(UsageCharge charge) {
    charge.attemptsOut++;
  }

  /**
   * An attempt has ended after so many ms; what never ran costs nothing, what may have run costs
   * what is usual.
   */
  public void onAttemptEnded(UsageCharge charge, Router.Outcome outcome, double took, double now) {
    advance(now);
    charge.attemptsOut--;
    if (outcome == Router.Outcome.OK) {
      double cost = work.answered(charge.queryClass, took);
      charge.used += cost;
      capacity.delivered(cost);
      capacity.ended(took <= TIMELY * wanted[charge.queryClass]);
    } else if (!outcome.neverRan()) {
      charge.used += work.estimate(charge.queryClass);
      capacity.ended(outcome == Router.Outcome.CANCELLED || outcome == Router.Outcome.ERROR);
    } else if (outcome == Router.Outcome.REJECTED) {
      capacity.ended(false);
    }
    settle(charge, now);
  }

  /** The query has its final answer; {@code served} tells whether one from servers. */
  public void onRequestEnded(UsageCharge charge, boolean served, double now) {
    advance(now);
    if (charge.over) {
      return;
    }
    charge.over = true;
    Account a = charge.account;
    a.held -= charge.parts + 1;
    double lasted = now - charge.since;
    a.lasts = a.lasts == 0 ? lasted : a.lasts + LASTS_SMOOTHING * (lasted - a.lasts);
    capacity.over(charge, served && lasted <= wanted[charge.queryClass]);
    settle(charge, now);
  }

  /** Once nothing of it is out, the account is put right by what was seen: each charge once. */
  private void settle(UsageCharge charge, double now) {
    if (!charge.over || charge.attemptsOut > 0 || charge.settled) {
      return;
    }
    charge.settled = true;
    charge.account.unsettled--;
    double back = charge.booked - charge.used;
    Account a = charge.account;
    a.used -= back;
    a.borrowed -= charge.basis == UsageCharge.Basis.LOAN ? back : 0;
    if (book.of(a.team) == null) {
      forgetRetired(now);
    }
    if (charge.basis == UsageCharge.Basis.UNLIMITED || a.own == null) {
      return;
    }
    a.top.settle(back, a.depth(supply, a.contract.ceiling()));
    if (charge.basis == UsageCharge.Basis.LOAN) {
      a.loan.settle(back, a.depth(supply, 1) * LOAN_DEPTH);
      supply.useLoan(-back);
    } else {
      a.own.settle(back, a.depth(supply, a.contract.guaranteedQuota()) + a.promises.kept(now));
      if (a.contract.lends()) {
        supply.useOwn(-back);
      }
    }
  }

  // --- For operators -----------------------------------------------------------------------------

  /**
   * Standard parts a second that this aggregator is reckoned to do; infinite while nothing is
   * scarce.
   */
  public double capacity() {
    return supply.rate();
  }

  /** Standard parts a second that were delivered of late. */
  public double deliveredRate() {
    return capacity.delivered();
  }

  /** How the accounts that were used stand. */
  public List<AccountView> accounts(double now) {
    advance(now);
    List<AccountView> views = new ArrayList<>();
    accounts.values().forEach(a -> views.add(a.view(book.version(), supply, now)));
    return views;
  }
}
