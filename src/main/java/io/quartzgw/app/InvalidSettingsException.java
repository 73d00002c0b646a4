package io.quartzgw.app;

/** Settings that a controller can't start with; the message names the field. */
public final class InvalidSettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidSettingsException(String message) {
        super(message);
    }
}
