package bitternpulley.contracts;

/** The limit by which a query was rejected. */
public enum Limit {
  /** No contract applies to the request. */
  NO_CONTRACT("no contract"),
  /** The contract does not have the query's class. */
  CLASS("class"),
  /** The team's quota is used up, and there is nothing to borrow. */
  QUOTA("share"),
  /** The team's ceiling, whatever others leave idle. */
  CEILING("ceiling"),
  /** The queries and parts that may be pending at once. */
  MAX_PENDING("holds"),
  /** The retries of the team's clients. */
  CLIENT_RETRIES("client_retries");

  private final String text;

  Limit(String text) {
    this.text = text;
  }

  /** The word in answers and in the contract log. */
  public String text() {
    return text;
  }
}
