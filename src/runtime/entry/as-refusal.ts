/** Turns any failure before a request was sent into the refusal that its caller gets. */
import {RefusalError} from '../../core/errors/refusal-error.js';
import {InternalFault} from '../../core/errors/refusals-data.js';

/** Returns a refusal unchanged, and wraps any other error in the refusal `InternalFault`. */
export const asRefusal = (err: unknown): RefusalError =>
	err instanceof RefusalError ? err : new RefusalError(InternalFault, {}, err instanceof Error ? {cause: err} : {});
