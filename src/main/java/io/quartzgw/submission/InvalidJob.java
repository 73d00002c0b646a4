package io.quartzgw.submission;

/** A job description that is malformed; the message names the field. */
public final class InvalidJob extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidJob(String message) {
        super(message);
    }
}
