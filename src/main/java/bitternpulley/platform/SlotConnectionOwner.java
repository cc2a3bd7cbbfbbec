package bitternpulley.platform;

import bitternpulley.broker.AttemptId;
import bitternpulley.broker.Effect;
import bitternpulley.broker.Event;
import java.util.List;

/** What a connection to a slot server reports to its owner. */
interface SlotConnectionOwner {
  /** An attempt has ended or was cancelled. */
  void onEvent(Event event);

  /** The connection carries this attempt no more. */
  void onAttemptRemoved(AttemptId attempt);

  /** The connection takes no further calls; may be reported more than once. */
  void onRetired(SlotConnection connection);

  /** The connection's descriptor is free; reported once. */
  void onDescriptorReleased();

  /**
   * The server refused this connection at once. Calls that wait for it may go over another that is
   * up: then the server runs and accepts no more connections.
   *
   * @return whether another connection took them, so that none of the attempts ends by the refusal
   */
  boolean reassign(SlotConnection refused, List<List<Effect.StartAttempt>> calls);
}
