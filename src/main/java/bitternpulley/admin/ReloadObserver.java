package bitternpulley.admin;

/** Learns how one configuration reload ended. */
public interface ReloadObserver {
  /** Ignores how the reload ended, for callers that nobody waits for. */
  ReloadObserver NONE =
      new ReloadObserver() {
        @Override
        public void succeeded() {}

        @Override
        public void failed(String reason) {}
      };

  /** The new configuration is in force. */
  void succeeded();

  /** The previous configuration stays in force. */
  void failed(String reason);
}
