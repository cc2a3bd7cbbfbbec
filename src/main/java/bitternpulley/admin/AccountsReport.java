package bitternpulley.admin;

import bitternpulley.broker.Broker;
import bitternpulley.broker.ContractAccounting;
import bitternpulley.contracts.AccountView;
import bitternpulley.contracts.Limit;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.Comparator;
import java.util.List;

/** The teams' accounts as one line of JSON; amounts are standard parts (docs/contracts.md). */
final class AccountsReport {
  private static final JsonFactory JSON = new JsonFactory();

  /**
   * Accounts listed at most, those that used most first: a line is read by people and held in
   * memory.
   */
  private static final int MOST = 100;

  private AccountsReport() {}

  /** All accounts that were used, or that of one team. */
  static String of(Broker broker, String team) {
    List<AccountView> all = broker.contractAccounting().views(broker.now());
    List<AccountView> listed =
        all.stream()
            .filter(a -> team == null || a.team().equals(team))
            .sorted(
                Comparator.comparingDouble((AccountView a) -> -a.used())
                    .thenComparing(AccountView::team))
            .limit(MOST)
            .toList();
    StringWriter line = new StringWriter();
    try (JsonGenerator out = JSON.createGenerator(line)) {
      out.writeStartObject();
      ContractAccounting accounts = broker.contractAccounting();
      figure(out, "capacity_per_s", accounts.capacity());
      figure(out, "delivered_per_s", accounts.delivered());
      out.writeNumberField("accounts_used", all.size());
      out.writeArrayFieldStart("accounts");
      for (AccountView a : listed) {
        account(out, a);
      }
      out.writeEndArray();
      out.writeEndObject();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return line.toString();
  }

  private static void account(JsonGenerator out, AccountView a) throws IOException {
    out.writeStartObject();
    out.writeStringField("team", a.team());
    out.writeNumberField("version", a.version());
    figure(out, "share", a.contract().guaranteedQuota());
    figure(out, "ceiling", a.contract().ceiling());
    figure(out, "balance", a.balance());
    figure(out, "loan", a.loan());
    figure(out, "used", a.used());
    figure(out, "borrowed", a.borrowed());
    out.writeNumberField("held", a.pending());
    out.writeNumberField("admitted", a.admitted());
    out.writeNumberField("promised", a.reservations());
    figure(out, "further_attempts_left", a.retriesLeft());
    figure(out, "client_retries_left", a.clientRetriesLeft());
    out.writeObjectFieldStart("refused");
    for (Limit limit : Limit.values()) {
      if (a.rejected()[limit.ordinal()] > 0) {
        out.writeNumberField(limit.text(), a.rejected()[limit.ordinal()]);
      }
    }
    out.writeEndObject();
    out.writeEndObject();
  }

  /** Two decimals; null where nothing limits it. */
  private static void figure(JsonGenerator out, String key, double value) throws IOException {
    if (Double.isInfinite(value)) {
      out.writeNullField(key);
    } else {
      out.writeNumberField(key, Math.round(value * 100) / 100.0);
    }
  }
}
