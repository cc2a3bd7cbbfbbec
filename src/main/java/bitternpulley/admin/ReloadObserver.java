package bitternpulley.admin;

/** Receives the result of one configuration reload. */
public interface ReloadObserver {
  /** Ignores the result, for a reload that nobody waits for. */
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
