package coveladder.app;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import org.slf4j.LoggerFactory;

/** Sets the lowest level that is logged. */
final class LogLevel {
  private LogLevel() {}

  /** Sets the level by its name in the settings. */
  static void set(String name) {
    if (LoggerFactory.getLogger("coveladder") instanceof Logger logger) {
      logger.setLevel(Level.toLevel(name));
    }
  }
}
