package bitternpulley.contracts;

/** The limit by which a query was rejected. */
public enum Limit {
  /** No contract applies to the request. */
  NO_CONTRACT("no contract"),
  /** The contract does not include the query's class. */
  CLASS("class"),
  /** The team's quota is used up, and the team cannot borrow. */
  QUOTA("share"),
  /** The team's ceiling is reached; it applies even if other teams leave capacity idle. */
  CEILING("ceiling"),
  /** The limit on pending queries and parts is reached. */
  MAX_PENDING("holds"),
  /** The team's clients have no retries left. */
  CLIENT_RETRIES("client_retries");

  private final String text;

  Limit(String text) {
    this.text = text;
  }

  /** The name of the limit in responses and in the contract log. */
  public String text() {
    return text;
  }
}
