package io.quartzgw.submission;

/** Thrown if a job specification is malformed; the message names the field. */
public final class InvalidJobException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidJobException(String message) {
        super(message);
    }
}
