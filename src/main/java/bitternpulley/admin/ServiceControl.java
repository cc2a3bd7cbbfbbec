package bitternpulley.admin;

/** The process that an admin endpoint belongs to. Called on the loop thread. */
public interface ServiceControl {
  /** Whether the process is ready and does not drain. */
  boolean isServing();

  /** Whether the operators' script allows the accounts to be listed. */
  boolean listsAccounts();

  /** Has the fronts close client connections after each response, or keep them again. */
  void setQuiesced(boolean quiesced);

  /** Reads the configuration again; the observer is called once, at any time and on any thread. */
  void reload(ReloadObserver observer);
}
