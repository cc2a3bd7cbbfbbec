package bitternpulley.membership;

/** Is notified of the results of this instance's probes. */
interface ProbeListener {
  /** The target answered neither the pings, the first of which was sent then, nor any relay. */
  void onProbeFailed(Member target, double sentAt, double now);

  /** The target answered; {@code ackSender} is itself or the relay that passed the ack on. */
  void onProbeAnswered(Member target, int ackSender, double now);
}
