package bitternpulley.admin;

/** What the admin endpoint reads and controls of the process; called on the event loop thread. */
public interface ServiceControl {
  /** Whether the process is ready and not draining. */
  boolean isServing();

  /** Whether the operators' script allows the accounts to be listed. */
  boolean listsAccounts();

  /** Sets whether each client connection is closed after its next response or kept open. */
  void setQuiesced(boolean quiesced);

  /** Reads the configuration again; the observer is called once, at any time and on any thread. */
  void reload(ReloadObserver observer);
}
