export { createStore, type Configuration, type Current, type Store } from './store.ts'
export { createPublisher, type Proposal, type Published, type PublishError, type Publisher, type PublishResult } from './publish.ts'
export { createFollower, type Follower, type FollowerOptions } from './follow.ts'
export { MAX_HISTORY, type Publication } from './rows.ts'
