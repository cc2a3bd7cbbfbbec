package bitternpulley.membership;

import bitternpulley.membership.GossipMessage.Kind;
import java.util.ArrayList;
import java.util.List;

/** Collects the actions that one call of {@link Membership} returns, in order. */
final class Outbox {
  private final MessageComposer composer;
  private List<MembershipAction> actions = new ArrayList<>();

  Outbox(MessageComposer composer) {
    this.composer = composer;
  }

  /** Starts an empty list of actions for the next call. */
  void begin() {
    actions = new ArrayList<>();
  }

  /** The actions added since {@link #begin}. */
  List<MembershipAction> actions() {
    return actions;
  }

  void add(MembershipAction action) {
    actions.add(action);
  }

  /** Sends a message of any kind but sync. */
  void send(int receiver, Kind kind, int sequence, int target) {
    actions.add(
        new MembershipAction.Send(receiver, composer.compose(kind, receiver, sequence, target)));
  }

  void sendStateSync(int receiver) {
    actions.add(new MembershipAction.Send(receiver, composer.composeStateSync(receiver)));
  }

  void sendPayloadSync(int receiver) {
    actions.add(new MembershipAction.Send(receiver, composer.composePayloadSync(receiver)));
  }
}
