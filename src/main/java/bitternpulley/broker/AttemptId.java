package bitternpulley.broker;

/** The n-th attempt of a part, from 0. */
public record AttemptId(long part, int number) {}
