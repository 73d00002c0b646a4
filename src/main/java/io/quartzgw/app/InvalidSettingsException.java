package io.quartzgw.app;

/**
 * Thrown if a controller can't start with its settings. The message names the first invalid field, or says that the
 * file can't be read or is not TOML.
 */
public final class InvalidSettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidSettingsException(String message) {
        super(message);
    }
}
