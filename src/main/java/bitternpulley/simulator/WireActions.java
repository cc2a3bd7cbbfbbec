package bitternpulley.simulator;

import bitternpulley.routing.Router;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Writes the actions of one instance at a time into the reply. */
final class WireActions implements Router.Actions {
  private final JsonGenerator out;
  private int who;

  WireActions(JsonGenerator out) {
    this.out = out;
  }

  WireActions of(int instance) {
    who = instance;
    return this;
  }

  private interface Body {
    void write() throws IOException;
  }

  private void action(String verb, Body body) {
    try {
      out.writeStartObject();
      out.writeStringField("verb", verb);
      out.writeNumberField("who", who);
      body.write();
      out.writeEndObject();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Override
  public void send(long part, String server, double timeout) {
    action(
        "issue",
        () -> {
          out.writeNumberField("ref", part);
          out.writeStringField("server", server);
          out.writeNumberField("patience", timeout);
        });
  }

  @Override
  public void cancel(long part, int attempt) {
    action(
        "callOff",
        () -> {
          out.writeNumberField("ref", part);
          out.writeNumberField("roundNo", attempt);
        });
  }

  @Override
  public void answer(long query, boolean complete) {
    action(
        "gatherUp",
        () -> {
          out.writeNumberField("ref", query);
          out.writeBooleanField("on", complete);
        });
  }

  @Override
  public void reject(long query, double retryAfter) {
    action(
        "turnAway",
        () -> {
          out.writeNumberField("ref", query);
          out.writeNumberField("pause", retryAfter);
        });
  }

  @Override
  public void fail(long query) {
    action("lose", () -> out.writeNumberField("ref", query));
  }

  @Override
  public void scheduleAlarm(double time, String token) {
    action(
        "setAlarm",
        () -> {
          out.writeNumberField("dueAt", time);
          out.writeStringField("token", token);
        });
  }

  @Override
  public void watchEndpoints() {
    action("tail", () -> out.writeBooleanField("on", true));
  }

  @Override
  public void closeIdleConnections(String server) {
    action("hangUp", () -> out.writeStringField("server", server));
  }

  @Override
  public void log(String text) {
    action("debug", () -> out.writeStringField("reasonText", text));
  }

  /** Declares that the decision code has failed. */
  void panic(String text) {
    action("panic", () -> out.writeStringField("reasonText", text));
  }
}
