package bitternpulley.broker;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;

/**
 * What the reducer's handlers share while one event is reduced: the time, the effects so far, and
 * the events that follow from it.
 */
final class ReductionContext {
  private final Queue<Event> events = new ArrayDeque<>();
  private List<Effect> effects = new ArrayList<>();
  private double now;

  ReductionContext(double now) {
    this.now = now;
  }

  /** Begins the reduction of an event from outside; the clock never runs backwards here. */
  void begin(Event event, double at) {
    now = Math.max(now, at);
    effects = new ArrayList<>();
    events.add(event);
  }

  /** The time of the event, in ms. */
  double now() {
    return now;
  }

  /** Adds an effect behind those so far. */
  void emit(Effect effect) {
    effects.add(effect);
  }

  /** The effects so far, in order. */
  List<Effect> effects() {
    return effects;
  }

  /** Adds an event to be handled after the current one, before any from outside. */
  void enqueue(Event event) {
    events.add(event);
  }

  /** Takes the next event to handle; null where none is left. */
  Event nextEvent() {
    return events.poll();
  }
}
