package bitternpulley.simulator;

import bitternpulley.routing.Router;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.UncheckedIOException;

/**
 * Writes a reply with the actions of the instances. All names of the outgoing protocol are in this
 * class.
 */
final class ActionWriter implements Router.Actions {
  private final JsonGenerator generator;
  private int currentInstance;

  ActionWriter(JsonGenerator generator) {
    this.generator = generator;
  }

  void beginReply() throws IOException {
    generator.writeStartObject();
    generator.writeArrayFieldStart("actions");
  }

  void endReply() throws IOException {
    generator.writeEndArray();
    generator.writeEndObject();
  }

  /** Returns this writer after selecting the instance to which the next actions belong. */
  ActionWriter forInstance(int instance) {
    currentInstance = instance;
    return this;
  }

  /** Writes the fields of an action other than its name and instance. */
  private interface FieldsWriter {
    void write() throws IOException;
  }

  private void writeAction(String verb, FieldsWriter fields) {
    try {
      generator.writeStartObject();
      generator.writeStringField("verb", verb);
      generator.writeNumberField("who", currentInstance);
      fields.write();
      generator.writeEndObject();
    } catch (IOException exception) {
      throw new UncheckedIOException(exception);
    }
  }

  @Override
  public void send(long part, String server, double timeout) {
    writeAction(
        "issue",
        () -> {
          generator.writeNumberField("ref", part);
          generator.writeStringField("server", server);
          generator.writeNumberField("patience", timeout);
        });
  }

  @Override
  public void cancel(long part, int attempt) {
    writeAction(
        "callOff",
        () -> {
          generator.writeNumberField("ref", part);
          generator.writeNumberField("roundNo", attempt);
        });
  }

  @Override
  public void answer(long query, boolean complete) {
    writeAction(
        "gatherUp",
        () -> {
          generator.writeNumberField("ref", query);
          generator.writeBooleanField("on", complete);
        });
  }

  @Override
  public void reject(long query, double retryAfter) {
    writeAction(
        "turnAway",
        () -> {
          generator.writeNumberField("ref", query);
          generator.writeNumberField("pause", retryAfter);
        });
  }

  @Override
  public void fail(long query) {
    writeAction("lose", () -> generator.writeNumberField("ref", query));
  }

  @Override
  public void scheduleAlarm(double time, String token) {
    writeAction(
        "setAlarm",
        () -> {
          generator.writeNumberField("dueAt", time);
          generator.writeStringField("token", token);
        });
  }

  @Override
  public void watchEndpoints() {
    writeAction("tail", () -> generator.writeBooleanField("on", true));
  }

  @Override
  public void closeIdleConnections(String server) {
    writeAction("hangUp", () -> generator.writeStringField("server", server));
  }

  @Override
  public void log(String text) {
    writeAction("debug", () -> generator.writeStringField("reasonText", text));
  }

  /** Reports that the routing policy of the current instance has failed. */
  void reportFailure(String text) {
    writeAction("panic", () -> generator.writeStringField("reasonText", text));
  }
}
