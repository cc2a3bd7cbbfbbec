package bitternpulley.leases;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Optional;

/**
 * The leases that one instance holds and, if it is a witness, those that it grants. {@link #tick}
 * must be called at least about ten times per renewal interval; times are ms of one clock.
 */
public final class Leases {
  /**
   * A message to send.
   *
   * @param to number of the receiving member
   * @param message the message
   */
  public record OutgoingMessage(int to, LeaseMessage message) {}

  /**
   * The state of this instance's leases, for operators.
   *
   * @param quota this instance's share of the common budget, 0 to 1
   * @param usableLeases number of witnesses from which this instance has a usable lease
   * @param witnesses number of all witnesses
   * @param activeMembers number of members listed in these leases, which include all that may act;
   *     0 if this instance may not act itself
   */
  public record LeaseStatus(double quota, int usableLeases, int witnesses, int activeMembers) {}

  private final int self;
  private final LeaseTerms terms;
  private final LeaseHolder holder;
  private Optional<LeaseWitness> witness = Optional.empty();
  private long epoch;
  private boolean isRequesting;
  private double nextRequestAt;
  private long ignoredMessages;

  /** The leases of member {@code self}, which holds none and requests none until {@link #start}. */
  public Leases(int self, LeaseTerms terms) {
    this.self = self;
    this.terms = terms;
    holder = new LeaseHolder(self, terms);
  }

  /** Starts requesting leases for the process that started at {@code epoch}. */
  public void start(long epoch, double now) {
    this.epoch = epoch;
    isRequesting = true;
    nextRequestAt = now;
    witness =
        terms.witnesses().contains(self)
            ? Optional.of(new LeaseWitness(self, terms))
            : Optional.empty();
  }

  /**
   * Stops requesting leases, so that other members can use this instance's quota once its leases
   * have expired.
   */
  public void stop() {
    isRequesting = false;
  }

  /** Advances the time; returns the requests to send. */
  public List<OutgoingMessage> tick(double now) {
    if (!isRequesting || now < nextRequestAt) {
      return List.of();
    }
    nextRequestAt = now + terms.renewalInterval();
    List<OutgoingMessage> requests = new ArrayList<>();
    for (int index = 0; index < terms.witnesses().size(); index++) {
      int to = terms.witnesses().get(index);
      LeaseMessage.LeaseRequest request =
          new LeaseMessage.LeaseRequest(self, epoch, holder.recordRequest(index, now));
      if (to == self) {
        grant(request, now).ifPresent(grant -> holder.accept(grant, now));
      } else {
        requests.add(new OutgoingMessage(to, request));
      }
    }
    return requests;
  }

  private Optional<LeaseMessage.LeaseGrant> grant(LeaseMessage.LeaseRequest request, double now) {
    return witness.flatMap(local -> local.grant(request, now));
  }

  /**
   * Handles a message and returns the answer, if any. The message must have come from the address
   * of the member given as its sender.
   */
  public List<OutgoingMessage> onMessage(LeaseMessage message, double now) {
    return message.accept(new MessageHandler(now));
  }

  private final class MessageHandler implements LeaseMessage.Handler<List<OutgoingMessage>> {
    private final double now;

    MessageHandler(double now) {
      this.now = now;
    }

    @Override
    public List<OutgoingMessage> onRequest(LeaseMessage.LeaseRequest request) {
      Optional<LeaseMessage.LeaseGrant> grant = grant(request, now);
      if (grant.isEmpty()) {
        ignoredMessages++;
        return List.of();
      }
      return List.of(new OutgoingMessage(request.from(), grant.get()));
    }

    @Override
    public List<OutgoingMessage> onGrant(LeaseMessage.LeaseGrant grant) {
      if (!holder.accept(grant, now)) {
        ignoredMessages++;
      }
      return List.of();
    }
  }

  /**
   * This instance's quota at a time, relative to an equal share among the configured members: 1 if
   * all members may act, more if some may not, 0 if this instance may not act.
   */
  public double quotaFactor(double now) {
    return terms.members() * status(now).quota();
  }

  /** The state of this instance's leases at a time. */
  public LeaseStatus status(double now) {
    int usable = holder.usableLeases(now);
    BitSet members = usable < terms.majority() ? new BitSet() : holder.activeMembers(now);
    return new LeaseStatus(
        members.isEmpty() ? 0 : 1.0 / members.cardinality(),
        usable,
        terms.witnesses().size(),
        members.cardinality());
  }

  /**
   * The number of messages that were ignored so far: late, duplicate or invalid ones, requests from
   * an earlier process of a member, and requests to an instance that is not a witness.
   */
  public long ignoredMessages() {
    return ignoredMessages;
  }
}
