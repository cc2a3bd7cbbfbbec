package bitternpulley.admin;

import bitternpulley.broker.Broker;
import bitternpulley.broker.ContractAccounting;
import bitternpulley.contracts.AccountView;
import bitternpulley.contracts.Limit;
import bitternpulley.contracts.RejectionCounts;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;

/**
 * Reports the accounts of the tenants (teams) as one line of JSON. Amounts are in standard parts;
 * one standard part is the average work of a part (docs/contracts.md).
 */
final class AccountsReport {
  /** Limits the length of the line, which people read and which is built in memory. */
  private static final int MAX_ACCOUNTS = 100;

  /** Highest usage first, then by name. */
  private static final Comparator<AccountView> BY_USAGE =
      Comparator.comparingDouble((AccountView account) -> -account.used())
          .thenComparing(AccountView::team);

  /** Numbers are rounded to two decimals. */
  private static final double ROUNDING_SCALE = 100;

  private AccountsReport() {}

  /** Reports the accounts with the highest usage. */
  static String ofAllTeams(Broker broker) {
    return report(broker, account -> true);
  }

  /** Reports the account of one team; the list is empty if the team has none. */
  static String ofTeam(Broker broker, String team) {
    return report(broker, account -> account.team().equals(team));
  }

  private static String report(Broker broker, Predicate<AccountView> filter) {
    ContractAccounting accounting = broker.contractAccounting();
    List<AccountView> accounts = accounting.accounts(broker.now());
    List<AccountView> reported =
        accounts.stream().filter(filter).sorted(BY_USAGE).limit(MAX_ACCOUNTS).toList();
    return JsonLine.of(
        json -> {
          writeRounded(json, "capacity_per_s", accounting.capacity());
          writeRounded(json, "delivered_per_s", accounting.deliveredRate());
          json.writeNumberField("accounts_used", accounts.size());
          json.writeArrayFieldStart("accounts");
          for (AccountView account : reported) {
            writeAccount(json, account);
          }
          json.writeEndArray();
        });
  }

  private static void writeAccount(JsonGenerator json, AccountView account) throws IOException {
    json.writeStartObject();
    json.writeStringField("team", account.team());
    json.writeNumberField("version", account.version());
    writeRounded(json, "share", account.contract().guaranteedQuota());
    writeRounded(json, "ceiling", account.contract().ceiling());
    writeRounded(json, "balance", account.guaranteeBalance());
    writeRounded(json, "loan", account.loanBalance());
    writeRounded(json, "used", account.used());
    writeRounded(json, "borrowed", account.borrowed());
    json.writeNumberField("held", account.pending());
    json.writeNumberField("admitted", account.admitted());
    json.writeNumberField("promised", account.reservations());
    writeRounded(json, "further_attempts_left", account.retriesLeft());
    writeRounded(json, "client_retries_left", account.clientRetriesLeft());
    writeRejections(json, account.rejections());
    json.writeEndObject();
  }

  private static void writeRejections(JsonGenerator json, RejectionCounts rejections)
      throws IOException {
    json.writeObjectFieldStart("refused");
    for (Limit limit : Limit.values()) {
      if (rejections.count(limit) > 0) {
        json.writeNumberField(limit.text(), rejections.count(limit));
      }
    }
    json.writeEndObject();
  }

  /** Writes a rounded number, or null if it is unlimited. */
  private static void writeRounded(JsonGenerator json, String key, double value)
      throws IOException {
    if (Double.isInfinite(value)) {
      json.writeNullField(key);
    } else {
      json.writeNumberField(key, Math.round(value * ROUNDING_SCALE) / ROUNDING_SCALE);
    }
  }
}
