package bitternpulley.config;

import bitternpulley.contracts.ContractBook;
import bitternpulley.contracts.TenantIdentification;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;

/**
 * What the operators' script says: the contracts (under version 1; whoever puts them in force
 * counts on), how their teams are recognised, the second front where the script sets it, whether
 * the door lists accounts, membership where it is on, the whole as the schema describes it, and
 * what the script printed.
 */
public record BrokerConfiguration(
    ContractBook contracts,
    TenantIdentification tenantIdentification,
    Optional<JsonNode> searchFront,
    boolean listsAccounts,
    Optional<MembershipConfiguration> membership,
    JsonNode document,
    String printed) {

  /** No script: no contracts. */
  public static final BrokerConfiguration NONE =
      new BrokerConfiguration(
          ContractBook.NONE,
          TenantIdentification.NONE,
          Optional.empty(),
          false,
          Optional.empty(),
          com.fasterxml.jackson.databind.node.NullNode.getInstance(),
          "");
}
