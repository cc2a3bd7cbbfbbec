package bitternpulley.platform;

import bitternpulley.broker.AttemptId;
import bitternpulley.broker.Effect;
import bitternpulley.broker.Event;
import java.util.List;

/** Receives the events of a connection to a slot server. */
interface SlotConnectionOwner {
  /** An attempt has ended or was cancelled. */
  void onEvent(Event event);

  /** The connection no longer carries this attempt. */
  void onAttemptRemoved(AttemptId attempt);

  /** The connection takes no further calls; may be reported more than once. */
  void onRetired(SlotConnection connection);

  /** The connection's descriptor is free; reported once. */
  void onDescriptorReleased();

  /**
   * The server refused this connection at once. If another connection to the server is established,
   * the server is running but accepts no more connections; calls that wait for the refused
   * connection may then use the established one.
   *
   * @return whether the calls were moved to another connection, so that no attempt ends because of
   *     the refusal
   */
  boolean reassign(SlotConnection refused, List<List<Effect.StartAttempt>> calls);
}
