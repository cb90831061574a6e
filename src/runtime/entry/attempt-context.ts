import {type CostEstimator} from '../../core/admission/cost-estimator.js';
import {type TeamLimiter} from '../../core/admission/team-limiter.js';
import {type Departure} from '../../core/attempt/departure.js';
import {type RetryBudget} from '../../core/attempt/retry-budget.js';
import {type InputAge} from '../observe/input-age.js';
import {type CreateCalls} from './running-call.js';
import {type TargetPools} from './target-pools.js';
import {type EntryContext} from './types.js';

/** State and dependencies that all requests of one entry share. */
export type AttemptContext = EntryContext & {
	readonly pools: TargetPools;
	readonly teamLimiter: TeamLimiter;
	readonly retryBudget: RetryBudget;
	readonly estimator: CostEstimator;
	readonly inputAge: InputAge;
	/** The planned stop of this VM; absent if the end of its process is unknown. */
	readonly departure?: Departure;
	/** Creates calls in another protocol. If absent, calls use the product's own protocol. */
	readonly createCalls?: CreateCalls;
};
