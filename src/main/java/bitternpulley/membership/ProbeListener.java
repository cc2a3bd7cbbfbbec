package bitternpulley.membership;

/** Is notified of the results of this instance's probes. */
interface ProbeListener {
  /** The target answered neither the pings, the first sent at {@code sentAt}, nor any relay. */
  void onProbeFailed(Member target, double sentAt, double now);

  /** The target answered; {@code ackSender} is the target or the relay that forwarded the ack. */
  void onProbeAnswered(Member target, int ackSender, double now);
}
