package bitternpulley.platform;

import bitternpulley.broker.AttemptId;
import bitternpulley.broker.Effect;
import bitternpulley.broker.Event;
import java.util.List;

/** What the owner of a connection is told. */
interface SlotConnectionOwner {
  /** An event for the core. */
  void tell(Event event);

  /** Nothing of this attempt is out any more. */
  void removed(AttemptId attempt);

  /** Nothing new is to go over this connection; may be told more than once. */
  void left(SlotConnection connection);

  /** Its descriptor is free; told once. */
  void released();

  /**
   * The server refused this connection at once. Calls that wait for it may go over another that is
   * up: then the server runs and holds no more connections, and this is true; none of the attempts
   * ends by that.
   */
  boolean takeOver(SlotConnection refused, List<List<Effect.StartAttempt>> calls);
}
