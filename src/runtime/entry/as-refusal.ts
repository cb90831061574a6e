/** What a caller is told of any failure before its request was sent. */
import {RefusalError} from '../../core/errors/refusal-error.js';
import {InternalFault} from '../../core/errors/refusals-data.js';

/** Refusals stay as they are; anything else is a fault of the router. */
export const asRefusal = (err: unknown): RefusalError =>
	err instanceof RefusalError ? err : new RefusalError(InternalFault, {}, err instanceof Error ? {cause: err} : {});
