package io.quartzgw.app;

/** Thrown if a controller can't start with its settings; the message names the invalid field. */
public final class InvalidSettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidSettingsException(String message) {
        super(message);
    }
}
