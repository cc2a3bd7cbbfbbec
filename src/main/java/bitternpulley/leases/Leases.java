package bitternpulley.leases;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Optional;

/**
 * The leases of one instance and, where it is a witness, those that it grants. {@link #tick} has to
 * be called at least some ten times per renewal interval; times are ms of one clock.
 */
public final class Leases {
  /**
   * A message to be sent.
   *
   * @param to number of the receiving member
   * @param message what to send
   */
  public record OutgoingMessage(int to, LeaseMessage message) {}

  /**
   * The state of this instance's leases, for operators.
   *
   * @param quota this instance's share of the common budget, 0 to 1
   * @param leases number of witnesses whose leases are usable
   * @param witnesses number of all witnesses
   * @param activeMembers members that may act, as far as these leases list them; 0 where this
   *     instance may not act itself
   */
  public record LeaseStatus(double quota, int leases, int witnesses, int activeMembers) {}

  private final int self;
  private final LeaseTerms terms;
  private final LeaseHolder holder;
  private Optional<LeaseWitness> witness = Optional.empty();
  private long epoch;
  private boolean isRequesting;
  private double nextRequestAt;
  private long ignoredMessages;

  /** Leases of member {@code self}, which holds none and does not request any yet. */
  public Leases(int self, LeaseTerms terms) {
    this.self = self;
    this.terms = terms;
    holder = new LeaseHolder(self, terms);
  }

  /** Begins to request leases, as the process started at {@code epoch}. */
  public void start(long epoch, double now) {
    this.epoch = epoch;
    isRequesting = true;
    nextRequestAt = now;
    witness =
        terms.witnesses().contains(self)
            ? Optional.of(new LeaseWitness(self, terms))
            : Optional.empty();
  }

  /** Stops requesting, so that this instance's quota is free once its leases have expired. */
  public void stop() {
    isRequesting = false;
  }

  /** Advances the time; returns the requests that are due. */
  public List<OutgoingMessage> tick(double now) {
    if (!isRequesting || now < nextRequestAt) {
      return List.of();
    }
    nextRequestAt = now + terms.renewalInterval();
    List<OutgoingMessage> requests = new ArrayList<>();
    for (int position = 0; position < terms.witnesses().size(); position++) {
      int to = terms.witnesses().get(position);
      LeaseMessage.LeaseRequest request =
          new LeaseMessage.LeaseRequest(self, epoch, holder.request(position, now));
      if (to == self) {
        grant(request, now).ifPresent(grant -> holder.accept(grant, now));
      } else {
        requests.add(new OutgoingMessage(to, request));
      }
    }
    return requests;
  }

  private Optional<LeaseMessage.LeaseGrant> grant(LeaseMessage.LeaseRequest request, double now) {
    return witness.flatMap(granting -> granting.grant(request, now));
  }

  /**
   * Handles a message that came from the address of the member it names; returns the answer, if
   * any.
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
   * This instance's quota at a time, relative to an equal share among the configured members: 1
   * where all may act, more where fewer do, 0 where it may not act or lacks leases.
   */
  public double quotaFactor(double now) {
    return terms.members() * status(now).quota();
  }

  /** The state of the leases at a time. */
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
   * Number of messages that changed nothing so far: late, repeated, of an earlier process, or
   * requests to an instance that is no witness.
   */
  public long ignoredMessages() {
    return ignoredMessages;
  }
}
