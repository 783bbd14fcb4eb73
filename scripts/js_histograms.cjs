// The part of hdr-histogram-js that a node on the platform uses. Its WebAssembly and encodings would take several megabytes.
const {
  constructorFromBucketSize,
} = require('../node_modules/hdr-histogram-js/dist/JsHistogramFactory');

function build({
  bitBucketSize,
  autoResize,
  lowestDiscernibleValue,
  highestTrackableValue,
  numberOfSignificantValueDigits,
}) {
  const Histogram = constructorFromBucketSize(bitBucketSize);
  const histogram = new Histogram(
    lowestDiscernibleValue,
    highestTrackableValue,
    numberOfSignificantValueDigits,
  );
  histogram.autoResize = autoResize;
  return histogram;
}

module.exports = {build};
