package bitternpulley.leases;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Optional;

/**
 * One instance's leases, and, where it is a witness, those that it grants. {@link #tick} is to be
 * called some ten times a renewal at least; times are ms of one clock.
 */
public final class Leases {
  /** What is to be sent. */
  public record OutgoingMessage(int to, LeaseMessage message) {}

  /**
   * How this instance stands, for operators.
   *
   * @param quota of the whole that is this instance's, 0 to 1
   * @param leases witnesses whose leases it may use, of so many
   * @param activeMembers members that may act, as far as these know; 0 where it may not act itself
   */
  public record LeaseStatus(double quota, int leases, int witnesses, int activeMembers) {}

  private final int self;
  private final LeaseTerms terms;
  private final LeaseHolder holder;
  private Optional<LeaseWitness> witness = Optional.empty();
  private long epoch;
  private boolean asks;
  private double nextAsk;
  private long ignoredMessages;

  /** One that holds nothing and may do nothing. */
  public Leases(int self, LeaseTerms terms) {
    this.self = self;
    this.terms = terms;
    holder = new LeaseHolder(self, terms);
  }

  /** From now on it can be reached, as the process begun at {@code epoch}, and asks. */
  public void start(long epoch, double now) {
    this.epoch = epoch;
    asks = true;
    nextAsk = now;
    witness =
        terms.witnesses().contains(self)
            ? Optional.of(new LeaseWitness(self, terms))
            : Optional.empty();
  }

  /** It ends: it asks no more, so that its part is free once its leases have run out. */
  public void stop() {
    asks = false;
  }

  /** The time goes on. */
  public List<OutgoingMessage> tick(double now) {
    if (!asks || now < nextAsk) {
      return List.of();
    }
    nextAsk = now + terms.renewEvery();
    List<OutgoingMessage> out = new ArrayList<>();
    for (int i = 0; i < terms.witnesses().size(); i++) {
      int to = terms.witnesses().get(i);
      LeaseMessage.LeaseRequest asked =
          new LeaseMessage.LeaseRequest(self, epoch, holder.ask(i, now));
      if (to == self) {
        witness.flatMap(w -> w.asked(asked, now)).ifPresent(g -> holder.granted(g, now));
      } else {
        out.add(new OutgoingMessage(to, asked));
      }
    }
    return out;
  }

  /** A message has come from the address of the member that it names. */
  public List<OutgoingMessage> onMessage(LeaseMessage message, double now) {
    if (message instanceof LeaseMessage.LeaseRequest a && witness.isPresent()) {
      return witness
          .get()
          .asked(a, now)
          .map(g -> List.of(new OutgoingMessage(a.from(), g)))
          .orElseGet(
              () -> {
                ignoredMessages++;
                return List.of();
              });
    }
    if (!(message instanceof LeaseMessage.LeaseGrant g) || !holder.granted(g, now)) {
      ignoredMessages++;
    }
    return List.of();
  }

  /**
   * This instance's part at a time, in parts of an even one by the members configured: one where
   * all may act, more where fewer do, 0 where it does not know or may not.
   */
  public double quotaFactor(double now) {
    return terms.members() * status(now).quota();
  }

  /** How it stands at a time. */
  public LeaseStatus status(double now) {
    int held = holder.held(now);
    BitSet named = held < terms.most() ? new BitSet() : holder.named(now);
    return new LeaseStatus(
        named.isEmpty() ? 0 : 1.0 / named.cardinality(),
        held,
        terms.witnesses().size(),
        named.cardinality());
  }

  /**
   * Messages that changed nothing, so far: late, repeated, of an earlier process, or to one that is
   * no witness.
   */
  public long ignoredMessages() {
    return ignoredMessages;
  }
}
