package bitternpulley.broker;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;

/**
 * State that the reducer's handlers share while one event is reduced: the time, the effects so far,
 * and the queue of follow-up events.
 */
final class ReductionContext {
  private final Queue<Event> events = new ArrayDeque<>();
  private List<Effect> effects = new ArrayList<>();
  private double now;

  ReductionContext(double now) {
    this.now = now;
  }

  /** Begins the reduction of an external event. The time never goes backwards. */
  void begin(Event event, double time) {
    now = Math.max(now, time);
    effects = new ArrayList<>();
    events.add(event);
  }

  /** The time of the event, in ms. */
  double now() {
    return now;
  }

  /** Appends an effect. */
  void emit(Effect effect) {
    effects.add(effect);
  }

  /** The effects so far, in order. */
  List<Effect> effects() {
    return effects;
  }

  /** Adds an event that is handled after the current one and before the next external event. */
  void enqueue(Event event) {
    events.add(event);
  }

  /** Takes the next event to handle; null if none is left. */
  Event nextEvent() {
    return events.poll();
  }
}
